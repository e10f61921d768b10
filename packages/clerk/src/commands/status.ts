import { Command } from '@oclif/core';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { Printer } from '../printer.js';
import { StatusReport } from '../fleet/statusreport.js';
import { CommandTransport } from '../commandtransport.js';

/** The configuration version held by a daemon. A daemon that has just started or resumed has not confirmed it yet. */
const configurationText = (d: DaemonRow): string =>
  !d.reached ? 'UNREACHABLE' : d.sure ? `holds ${d.version ?? 'none'}` : 'not confirmed yet';

type DaemonRow = { id: string; site: string; role: string; reached: boolean; sure: boolean; version: number | null };
/** `mark` is the fence and step under which the assignment was made. */
type StageAssignment = { server: string; part: string; stage: string; by: string; mark: [number, number] };

/** The command `clerk status`. */
export class StatusCommand extends Command {
  static override description =
    'Show whether the fleet is healthy and why not, which configuration each daemon holds, and the stage assignments.';
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { flags } = await this.parse(StatusCommand);
    const body = await CommandTransport.request(
      flags,
      (at) => OperatorClient.request(at, 'GET', '/status'),
      (f) => f.status(),
    );
    this.exit(
      Printer.print(body, flags.json, (b) => {
        if ('servers' in b)
          return StatusReport.formatLines(b as Parameters<typeof StatusReport.formatLines>[0], Date.now());
        const view = b['view'] as { epoch: number; chain: { id: string }[] } | null;
        const wrong = b['wrong'] as string[],
          version = b['version'] as number | null;
        return [
          wrong.length === 0 ? 'The fleet is well.' : `The fleet is not well (${wrong.length}):`,
          ...wrong.map((w) => `  - ${w}`),
          `Core ${String(b['core'])}: version ${version ?? 'unknown'}, chain ` +
            `${view ? view.chain.map((m) => m.id).join(' > ') : 'unknown'}.`,
          ...(b['daemons'] as DaemonRow[]).map(
            (d) => `  ${d.id.padEnd(8)} ${d.role.padEnd(9)} ${d.site.padEnd(8)} ${configurationText(d)}`,
          ),
          'Stage assignments:',
          ...(b['sheet'] as StageAssignment[]).map(
            (c) =>
              `  ${c.server.padEnd(8)} ${c.part.padEnd(8)} ${c.stage.padEnd(9)} by ${c.by} under ` +
              `fence ${c.mark[0]}.${c.mark[1]}`,
          ),
        ];
      }),
    );
  }
}
