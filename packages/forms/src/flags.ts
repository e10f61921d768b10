import { parseArgs } from 'node:util';

type Flag = { name: string; help: string; kind: 'text' | 'list' | 'yes' };

/** A daemon's flags: the same names as the keys of its settings file. */
export const Flags = {
  read(
    program: string,
    about: string,
    list: readonly Flag[],
    argv: readonly string[],
  ): { flags: Record<string, unknown>; file: string | undefined } | { say: string; code: number } {
    const help = [
      `${program}: ${about}`,
      '',
      `usage: ${program} [--startup FILE] [--KEY VALUE ...]`,
      '',
      '  --startup FILE   a JSON file with the keys below; flags go over it',
      ...list.map((f) => `  --${f.name.padEnd(14)} ${f.help}${f.kind === 'list' ? ' (may be given again)' : ''}`),
      '  --help           this text',
      '',
      'exit codes: 0 stopped cleanly, 1 failed while running, 2 wrong settings',
    ].join('\n');
    try {
      const { values } = parseArgs({
        args: [...argv],
        strict: true,
        allowPositionals: false,
        options: {
          startup: { type: 'string' },
          help: { type: 'boolean' },
          ...Object.fromEntries(
            list.map((f) => [
              f.name,
              f.kind === 'yes'
                ? { type: 'boolean' as const }
                : f.kind === 'list'
                  ? { type: 'string' as const, multiple: true }
                  : { type: 'string' as const },
            ]),
          ),
        },
      });
      const { startup: file, help: asked, ...flags } = values as Record<string, unknown>;
      if (asked) return { say: help, code: 0 };
      return { flags, file: file as string | undefined };
    } catch (e) {
      return { say: `${program}: ${e instanceof Error ? e.message : String(e)}`, code: 2 };
    }
  },
};
