import { Args, Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';
import { Where } from '../where.js';
import { CounterRequestStory } from '../counterrequeststory.js';

/** clerk visit */
export class CounterRequestCommand extends Command {
  static override description =
    'Follow one request: its admission, its record, the servers it was sent to, its outcome.';
  static override args = { key: Args.string({ description: "the request's key", required: true }) };
  static override flags = Common;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(CounterRequestCommand);
    const path = `/visit/${encodeURIComponent(args.key)}`;
    const body = await Where.ask(flags, (at) => Desk.ask(at, 'GET', path), null);
    this.exit(
      Printer.show(body, flags.json, (b) =>
        CounterRequestStory.lines(b as Parameters<typeof CounterRequestStory.lines>[0]),
      ),
    );
  }
}
