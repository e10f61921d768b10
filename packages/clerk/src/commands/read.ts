import { Args, Command } from '@oclif/core';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';

/** The configuration in a reply. A routed fleet's has its source text removed. */
const configurationOf = (b: Record<string, unknown>): unknown =>
  'charter' in b ? b['charter'] : b['configuration'] && { ...b['configuration'], source: undefined };

/** The command `clerk read`. */
export class ReadCommand extends Command {
  static override description = 'Show the configuration in force, or the state of a plan.';
  static override args = {
    plan: Args.string({ description: 'name of a plan; without it, the configuration in force is shown' }),
  };
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
