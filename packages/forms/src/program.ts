import type { Static, TSchema } from 'typebox';
import type { Fault } from './fault.js';
import { Flags } from './flags.js';
import { SettingsReader } from './settingsreader.js';

type Flag = Parameters<typeof Flags.read>[2][number];

/** Starting and ending a command-line program. */
export const Program = {
  /** Prints one line per fault and exits with code 2. */
  exitInvalid(program: string, faults: readonly Fault[]): never {
    for (const fault of faults) process.stderr.write(`${program}: ${fault.path || '/'} ${fault.why}\n`);
    process.exit(2);
  },
  /** Reads the settings from file and flags; exits if they are invalid or if help was requested. */
  async readSettings<S extends TSchema>(
    program: string,
    about: string,
    known: readonly Flag[],
    schema: S,
    argv: readonly string[],
  ): Promise<NoInfer<Static<S>>> {
    const parsed = Flags.read(program, about, known, argv);
    if ('say' in parsed) {
      (parsed.code === 0 ? process.stdout : process.stderr).write(`${parsed.say}\n`);
      process.exit(parsed.code);
    }
    const settings = await SettingsReader.read(schema, parsed.file, parsed.flags);
    return settings.ok ? settings.val : Program.exitInvalid(program, settings.val);
  },
  /** Prints the error and exits with code 1. */
  exitFailed(program: string, e: unknown): never {
    process.stderr.write(`${program}: ${e instanceof Error ? e.message : String(e)}\n`);
    process.exit(1);
  },
  /** Runs `stop` once at SIGTERM or SIGINT, then exits with code 0, or 1 if `stop` failed. */
  onTermination(stop: () => Promise<void>): void {
    let stopping = false;
    const shutDown = (): void => {
      if (stopping) return;
      stopping = true;
      void stop().then(
        () => process.exit(0),
        () => process.exit(1),
      );
    };
    process.on('SIGTERM', shutDown);
    process.on('SIGINT', shutDown);
  },
};
