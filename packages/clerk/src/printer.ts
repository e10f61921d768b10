import { ExitCode } from './exitcode.js';

type Body = Record<string, unknown> | null;
type VerdictBody = { ran: string; code: string; why: string; faults?: { path: string; why: string }[] };

/** Prints a reply as text or as JSON and returns the exit code. Failures are printed to stderr. */
export const Printer = {
  print(body: Body, json: boolean, formatLines: (b: Record<string, unknown>) => string[]): number {
    const verdict = body?.['verdict'] as VerdictBody | undefined;
    const exitCode = ExitCode.of(verdict);
    if (json) process.stdout.write(`${JSON.stringify(body, null, 2)}\n`);
    else if (exitCode === 0 && body)
      process.stdout.write(
        formatLines(body)
          .map((l) => `${l}\n`)
          .join(''),
      );
    else if (verdict?.faults) process.stderr.write(verdict.faults.map((f) => `${f.path || '/'} ${f.why}\n`).join(''));
    else process.stderr.write(`${verdict ? `${verdict.code}: ${verdict.why}` : 'no daemon replied'}\n`);
    return exitCode;
  },
};
