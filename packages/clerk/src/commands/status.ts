import { Command } from '@oclif/core';
import { CommonFlags } from '../common.js';
import { OperatorClient } from '../desk.js';
import { Printer } from '../printer.js';
import { StatusReport } from '../fleet/statuslines.js';
import { CommandTransport } from '../where.js';

/** What one daemon says of its charter; one that just started or woke says that it can't tell yet. */
const configurationText = (d: DaemonRow): string =>
  !d.reached ? 'UNREACHABLE' : d.sure ? `holds ${d.version ?? 'none'}` : 'can not tell yet';

type DaemonRow = { id: string; site: string; role: string; reached: boolean; sure: boolean; version: number | null };
type StageAssignment = { server: string; part: string; stage: string; by: string; mark: [number, number] };

/** clerk status */
export class StatusCommand extends Command {
  static override description =
    'Whether the fleet is well and if not why, which charter each daemon holds, and how the servers are cast.';
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
          'Casting:',
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
