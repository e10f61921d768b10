import { Args, Command } from '@oclif/core';
import { CommonFlags } from '../common.js';
import { OperatorClient } from '../desk.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../where.js';

/** What is in force: a charter, or a configuration without the text that it was read from. */
const configurationOf = (b: Record<string, unknown>): unknown =>
  'charter' in b ? b['charter'] : b['configuration'] && { ...b['configuration'], source: undefined };

/** clerk read */
export class ReadCommand extends Command {
  static override description = 'Read back the charter in force, or the fate of a plan.';
  static override args = { plan: Args.string({ description: 'a plan; the charter in force if left out' }) };
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ReadCommand);
    const path = args.plan === undefined ? '/charter' : `/plan/${encodeURIComponent(args.plan)}`;
    const plan = args.plan;
    const body = await CommandTransport.request(
      flags,
      (at) => OperatorClient.request(at, 'GET', path),
      (f) => (plan === undefined ? f.read() : f.fate(plan)),
    );
    this.exit(
      Printer.print(body, flags.json, (b) =>
        args.plan === undefined
          ? [
              JSON.stringify(configurationOf(b), null, 2),
              `Version ${String(b['version'])}, from plan ${String(b['plan'])}.`,
            ]
          : [(b['verdict'] as { why: string }).why],
      ),
    );
  }
}
