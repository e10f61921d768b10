import type { Fault } from './fault.js';

/** How a program ends. */
export const Program = {
  /** One line a fault, and exit code 2. */
  wrong(program: string, faults: readonly Fault[]): never {
    for (const f of faults) process.stderr.write(`${program}: ${f.path || '/'} ${f.why}\n`);
    process.exit(2);
  },
  /** Runs `stop` once at SIGTERM or SIGINT, then exits 0. */
  until(stop: () => Promise<void>): void {
    let off = false;
    const end = (): void => {
      if (off) return;
      off = true;
      void stop().then(() => process.exit(0), () => process.exit(1));
    };
    process.on('SIGTERM', end);
    process.on('SIGINT', end);
  },
};
