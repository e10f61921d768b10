import { parseArgs } from 'node:util';

type Flag = { name: string; help: string; kind: 'text' | 'list' | 'yes' };

/** Parses a daemon's command-line flags. They are named like the keys of its settings file. */
export const Flags = {
  /** The flags and the path of the settings file; or, if the program is to end, its output `say` and its exit code. */
  read(
    program: string,
    about: string,
    known: readonly Flag[],
    argv: readonly string[],
  ): { flags: Record<string, unknown>; file: string | undefined } | { say: string; code: number } {
    const help = [
      `${program}: ${about}`,
      '',
      `usage: ${program} [--startup FILE] [--KEY VALUE ...]`,
      '',
      '  --startup FILE   a JSON file with the keys below; flags override it',
      ...known.map((f) => `  --${f.name.padEnd(14)} ${f.help}${f.kind === 'list' ? ' (may be repeated)' : ''}`),
      '  --help           print this text',
      '',
      'exit codes: 0 stopped cleanly, 1 failed while running, 2 invalid settings',
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
            known.map((f) => [
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
      const { startup: file, help: helpRequested, ...flags } = values as Record<string, unknown>;
      if (helpRequested) return { say: help, code: 0 };
      return { flags, file: file as string | undefined };
    } catch (e) {
      return { say: `${program}: ${e instanceof Error ? e.message : String(e)}`, code: 2 };
    }
  },
};
