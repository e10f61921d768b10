import { Args, Command, Flags } from '@oclif/core';
import { SingleBar } from 'cli-progress';
import { setTimeout as sleep } from 'node:timers/promises';
import { BurstReport } from '../lending/burstreport.js';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { ExitCode } from '../exitcode.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';

type Summary = Parameters<typeof BurstReport.formatLines>[0];
const POLL_INTERVAL_MS = 500;
/** Consecutive polls without a summary before the command gives up. */
const MAX_CONSECUTIVE_FAILURES = 20;

/** The command `clerk burst watch`. */
export class BurstWatchCommand extends Command {
  static override description =
    'Show the progress of a burst until each generation has an outcome. Interrupting it does not end the burst.';
  static override args = { key: Args.string({ description: 'key of the burst', required: true }) };
  static override flags = { ...CommonFlags, once: Flags.boolean({ description: 'print the state once and exit' }) };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BurstWatchCommand);
    const bar = new SingleBar({ format: '{bar} {value}/{total}  {words}', noTTYOutput: false, clearOnComplete: true });
    const showsBar = !flags.json && !flags.once && process.stderr.isTTY;
    let barStarted = false;
    let consecutiveFailures = 0;
    for (;;) {
      const body = await CommandTransport.request(
        flags,
        (at) => OperatorClient.request(at, 'GET', `/burst/${encodeURIComponent(args.key)}`),
        null,
      );
      const summary = body?.['summary'] as Summary | undefined;
      const code = ExitCode.of(body?.['verdict'] as { ran: string; code: string } | undefined);
      consecutiveFailures = summary ? 0 : consecutiveFailures + 1;
      const givenUp =
        !summary &&
        ((body?.['verdict'] as { code?: string } | undefined)?.code === 'unknown' ||
          consecutiveFailures > MAX_CONSECUTIVE_FAILURES);
      if (summary && showsBar) {
        if (!barStarted) bar.start(summary.total, BurstReport.settledCount(summary));
        barStarted = true;
        bar.update(BurstReport.settledCount(summary), { words: BurstReport.formatCounts(summary) });
      }
      if (flags.once || givenUp || (summary && BurstReport.settledCount(summary) === summary.total)) {
        if (barStarted) bar.stop();
        this.exit(
          code === 0 || givenUp || flags.once
            ? Printer.print(body, flags.json, () => (summary ? BurstReport.formatLines(summary) : []))
            : code,
        );
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }
}
