import { Dice, type Doc, type World } from '@pumicebarrow/forms';
import type { Holding, Purging } from '@pumicebarrow/purge';
import type { Listed } from './listed.js';
import type { SheetView } from './sheetview.js';
import type { Shuns } from './shuns.js';
import type { TownView } from './townview.js';

type Dependencies = {
  world: World;
  shelf: Holding;
  /** Configuration and stage assignments. */
  sheet: SheetView;
  shuns: ReturnType<typeof Shuns.make>;
  /** Gossip by which reports are published. */
  purge: Purging;
  /** Backend inventory. */
  town: TownView;
  self: string;
};
const EJECTION_MS = 1000;

/**
 * Reports of failed servers, from this daemon's own requests and from its peers. Invariant: this daemon publishes one
 * report per incarnation of a server; a report from a peer ejects the server here for half as long, since it may be
 * that peer's link that has failed.
 */
export const Sights = {
  make(deps: Dependencies) {
    return {
      /** Ejects a server that failed for this daemon, and publishes a report of it. */
      saw(server: Listed): void {
        deps.shuns.add(server.id, server.born, EJECTION_MS);
        const stamp = deps.shelf.mark(`sight:${server.id}`);
        const report = deps.sheet.failureReport(server.id);
        deps.world.tell({ what: 'sighted', server: server.id });
        if (report?.born === server.born && report.by === deps.self) return;
        deps.purge.publish({
          name: `sight:${server.id}`,
          mark: [(stamp?.[0] ?? 0) + 1, Dice.int(deps.world.chance, 1e6)],
          body: { server: server.id, born: server.born, by: deps.self },
        });
      },
      /** Ejects a server that a peer has reported. */
      heard(doc: Doc): void {
        const server = deps.town.all().find((x) => `sight:${x.id}` === doc.name);
        const report = deps.sheet.failureReport(server?.id ?? '');
        if (
          !server ||
          report?.born !== server.born ||
          report.by === deps.self ||
          deps.shuns.has(server.id, server.born)
        )
          return;
        deps.shuns.add(server.id, server.born, EJECTION_MS / 2);
      },
    };
  },
};
