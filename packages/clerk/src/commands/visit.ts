import { Args, Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';
import { Where } from '../where.js';
import { VisitStory } from '../visitstory.js';

/** clerk visit */
export class VisitCommand extends Command {
  static override description = 'Follow one visit: its admission, its record, the servers it was sent to, its outcome.';
  static override args = { key: Args.string({ description: "the visit's key", required: true }) };
  static override flags = Common;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(VisitCommand);
    const path = `/visit/${encodeURIComponent(args.key)}`;
    const body = await Where.ask(flags, (at) => Desk.ask(at, 'GET', path), null);
    this.exit(Printer.show(body, flags.json, (b) => VisitStory.lines(b as Parameters<typeof VisitStory.lines>[0])));
  }
}
