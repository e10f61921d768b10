import type { Static, TSchema } from 'typebox';
import type { Fault } from './fault.js';
import { Flags } from './flags.js';
import { SettingsReader } from './settingsreader.js';

type Flag = Parameters<typeof Flags.read>[2][number];

/** How a program ends. */
export const Program = {
  /** One line a fault, and exit code 2. */
  wrong(program: string, faults: readonly Fault[]): never {
    for (const f of faults) process.stderr.write(`${program}: ${f.path || '/'} ${f.why}\n`);
    process.exit(2);
  },
  /** A daemon's settings from file and flags; ends the program when they are wrong, or when only help was asked for. */
  async settings<S extends TSchema>(
    program: string,
    about: string,
    list: readonly Flag[],
    form: S,
    argv: readonly string[],
  ): Promise<NoInfer<Static<S>>> {
    const got = Flags.read(program, about, list, argv);
    if ('say' in got) {
      (got.code === 0 ? process.stdout : process.stderr).write(`${got.say}\n`);
      process.exit(got.code);
    }
    const read = await SettingsReader.read(form, got.file, got.flags);
    return read.ok ? read.val : Program.wrong(program, read.val);
  },
  /** One line, and exit code 1. */
  failed(program: string, e: unknown): never {
    process.stderr.write(`${program}: ${e instanceof Error ? e.message : String(e)}\n`);
    process.exit(1);
  },
  /** Runs `stop` once at SIGTERM or SIGINT, then exits 0. */
  until(stop: () => Promise<void>): void {
    let off = false;
    const end = (): void => {
      if (off) return;
      off = true;
      void stop().then(
        () => process.exit(0),
        () => process.exit(1),
      );
    };
    process.on('SIGTERM', end);
    process.on('SIGINT', end);
  },
};
