import { Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';
import { StatusLines } from '../fleet/statuslines.js';
import { Where } from '../where.js';

/** What one daemon says of its charter; one that just started or woke says that it can't tell yet. */
const held = (d: Row): string =>
  !d.reached ? 'UNREACHABLE' : d.sure ? `holds ${d.version ?? 'none'}` : 'can not tell yet';

type Row = { id: string; site: string; role: string; reached: boolean; sure: boolean; version: number | null };
type Cast = { server: string; part: string; stage: string; by: string; mark: [number, number] };

/** clerk status */
export class StatusCommand extends Command {
  static override description =
    'Whether the fleet is well and if not why, which charter each daemon holds, and how the servers are cast.';
  static override flags = Common;

  async run(): Promise<void> {
    const { flags } = await this.parse(StatusCommand);
    const body = await Where.ask(
      flags,
      (at) => Desk.ask(at, 'GET', '/status'),
      (f) => f.status(),
    );
    this.exit(
      Printer.show(body, flags.json, (b) => {
        if ('servers' in b) return StatusLines.of(b as Parameters<typeof StatusLines.of>[0], Date.now());
        const view = b['view'] as { epoch: number; chain: { id: string }[] } | null;
        const wrong = b['wrong'] as string[],
          version = b['version'] as number | null;
        return [
          wrong.length === 0 ? 'The fleet is well.' : `The fleet is not well (${wrong.length}):`,
          ...wrong.map((w) => `  - ${w}`),
          `Core ${String(b['core'])}: version ${version ?? 'unknown'}, chain ` +
            `${view ? view.chain.map((m) => m.id).join(' > ') : 'unknown'}.`,
          ...(b['daemons'] as Row[]).map(
            (d) => `  ${d.id.padEnd(8)} ${d.role.padEnd(9)} ${d.site.padEnd(8)} ${held(d)}`,
          ),
          'Casting:',
          ...(b['sheet'] as Cast[]).map(
            (c) =>
              `  ${c.server.padEnd(8)} ${c.part.padEnd(8)} ${c.stage.padEnd(9)} by ${c.by} under ` +
              `fence ${c.mark[0]}.${c.mark[1]}`,
          ),
        ];
      }),
    );
  }
}
