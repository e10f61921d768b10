import { Args, Command } from '@oclif/core';
import { readFile } from 'node:fs/promises';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';

/** The command `clerk plan`. */
export class PlanCommand extends Command {
  static override description =
    'Store a configuration as a plan and show what it would change. Nothing takes effect yet.';
  static override examples = ['<%= config.bin %> plan configuration.json'];
  static override args = {
    file: Args.string({ description: 'JSON file with the whole configuration', required: true }),
  };
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(PlanCommand);
    let text: string, configuration: unknown;
    try {
      text = await readFile(args.file, 'utf8');
      configuration = JSON.parse(text);
    } catch (e) {
      process.stderr.write(`${args.file} can't be read: ${(e as Error).message}\n`);
      this.exit(2);
    }
    const body = await CommandTransport.request(
      flags,
      (at) => OperatorClient.request(at, 'POST', '/plan', { charter: configuration }),
      (f) => f.plan(text),
    );
    this.exit(
      Printer.print(body, flags.json, (b) => [
        `Plan ${String(b['plan'])} is stored against version ${String(b['base'])}.`,
        ...((b['changes'] as { words: string }[]).length === 0
          ? ['  It changes nothing.']
          : (b['changes'] as { words: string }[]).map((c) => `  ${c.words}`)),
        ...((b['warnings'] ?? []) as string[]).map((w) => `  WARNING: ${w}.`),
        `Confirm it with: clerk confirm ${String(b['plan'])}`,
      ]),
    );
  }
}
