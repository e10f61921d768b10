import { ExitCode } from './exitcode.js';

type Body = Record<string, unknown> | null;
type Told = { ran: string; code: string; why: string; faults?: { path: string; why: string }[] };

/** Prints a reply, in words or as JSON, and says how the program is to end. */
export const Printer = {
  show(body: Body, json: boolean, words: (b: Record<string, unknown>) => string[]): number {
    const v = body?.['verdict'] as Told | undefined;
    const code = ExitCode.of(v);
    if (json) process.stdout.write(`${JSON.stringify(body, null, 2)}\n`);
    else if (code === 0 && body)
      process.stdout.write(
        words(body)
          .map((l) => `${l}\n`)
          .join(''),
      );
    else if (v?.faults) process.stderr.write(v.faults.map((f) => `${f.path || '/'} ${f.why}\n`).join(''));
    else process.stderr.write(`${v ? `${v.code}: ${v.why}` : 'no daemon replied'}\n`);
    return code;
  },
};
