import { Args, Command } from '@oclif/core';
import { Common } from '../../common.js';
import { Printer } from '../../printer.js';
import { Where } from '../../where.js';
import { RequestStory } from '../requeststory.js';

/** clerk request */
export class RequestCommand extends Command {
  static override description =
    'Follow one request through a router: where it was placed and why, its reading, hand-over, run and verdict.';
  static override examples = ['<%= config.bin %> request first-1 --daemon 127.0.0.1:8080'];
  static override args = { id: Args.string({ description: "the request's id", required: true }) };
  static override flags = Common;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(RequestCommand);
    const body = await Where.ask(flags, null, (f) => f.request(args.id));
    this.exit(Printer.show(body, flags.json, (b) => RequestStory.lines(b as Parameters<typeof RequestStory.lines>[0])));
  }
}
