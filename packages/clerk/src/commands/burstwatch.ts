import { Args, Command, Flags } from '@oclif/core';
import { SingleBar } from 'cli-progress';
import { setTimeout as nap } from 'node:timers/promises';
import { BurstStory } from '../lending/burststory.js';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { ExitCode } from '../exitcode.js';
import { Printer } from '../printer.js';
import { Where } from '../where.js';

type Summary = Parameters<typeof BurstStory.lines>[0];
const PACE = 500;
/** How often in a row nobody may reply before it is given up. */
const SILENT = 20;

/** clerk burst watch */
export class BurstWatchCommand extends Command {
  static override description = 'Follow a burst until each generation has its outcome. Leaving it stops nothing.';
  static override args = { key: Args.string({ description: "the burst's key", required: true }) };
  static override flags = { ...Common, once: Flags.boolean({ description: 'look once, and end' }) };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BurstWatchCommand);
    const bar = new SingleBar({ format: '{bar} {value}/{total}  {words}', noTTYOutput: false, clearOnComplete: true });
    const drawn = !flags.json && !flags.once && process.stderr.isTTY;
    let begun = false;
    let silent = 0;
    for (;;) {
      const body = await Where.ask(flags, (at) => Desk.ask(at, 'GET', `/burst/${encodeURIComponent(args.key)}`), null);
      const s = body?.['summary'] as Summary | undefined;
      const code = ExitCode.of(body?.['verdict'] as { ran: string; code: string } | undefined);
      silent = s ? 0 : silent + 1;
      const gone = !s && ((body?.['verdict'] as { code?: string } | undefined)?.code === 'unknown' || silent > SILENT);
      if (s && drawn) {
        if (!begun) bar.start(s.total, BurstStory.over(s));
        begun = true;
        bar.update(BurstStory.over(s), { words: BurstStory.words(s) });
      }
      if (flags.once || gone || (s && BurstStory.over(s) === s.total)) {
        if (begun) bar.stop();
        this.exit(
          code === 0 || gone || flags.once
            ? Printer.show(body, flags.json, () => (s ? BurstStory.lines(s) : []))
            : code,
        );
      }
      await nap(PACE);
    }
  }
}
