import { Args, Command } from '@oclif/core';
import { readFile } from 'node:fs/promises';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';

/** The command `clerk burst begin`. */
export class BurstBeginCommand extends Command {
  static override description =
    'Begin a burst. Repeating it with the same file has no effect, because the key identifies the burst.';
  static override examples = ['<%= config.bin %> burst begin burst.json'];
  static override args = {
    file: Args.string({
      description: 'JSON file with the keys key, rule (name of a route), prompts, samples, repeats',
      required: true,
    }),
  };
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BurstBeginCommand);
    let spec: unknown;
    try {
      spec = JSON.parse(await readFile(args.file, 'utf8'));
    } catch (e) {
      process.stderr.write(`${args.file} can't be read: ${(e as Error).message}\n`);
      this.exit(2);
    }
    const body = await CommandTransport.request(
      flags,
      (at) => OperatorClient.request(at, 'POST', '/burst', spec),
      null,
    );
    this.exit(
      Printer.print(body, flags.json, (b) => [
        `${(b['verdict'] as { why: string }).why} ${String(b['total'])} generations.`,
        `Watch it with: clerk burst watch ${String(b['key'])}`,
      ]),
    );
  }
}
