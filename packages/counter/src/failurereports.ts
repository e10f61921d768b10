import { Random, type Doc, type World } from '@pumicebarrow/forms';
import type { RecordStore, GossipNode } from '@pumicebarrow/purge';
import type { ListedServer } from './listedserver.js';
import type { FleetRecordsView } from './fleetrecordsview.js';
import type { Ejections } from './ejections.js';
import type { InventoryView } from './inventoryview.js';

type Dependencies = {
  world: World;
  recordStore: RecordStore;
  /** Configuration and stage assignments. */
  sheet: FleetRecordsView;
  ejections: ReturnType<typeof Ejections.make>;
  /** Gossip by which reports are published. */
  purge: GossipNode;
  /** Backend inventory. */
  town: InventoryView;
  self: string;
};
const EJECTION_MS = 1000;

/**
 * Reports of failed servers, from this daemon's own requests and from its peers. Invariant: this daemon publishes one
 * report per incarnation of a server; a report from a peer ejects the server here for half as long, since it may be
 * that peer's link that has failed.
 */
export const FailureReports = {
  make(deps: Dependencies) {
    return {
      /** Ejects a server that failed for this daemon, and publishes a report of it. */
      report(server: ListedServer): void {
        deps.ejections.add(server.id, server.born, EJECTION_MS);
        const stamp = deps.recordStore.stamp(`sight:${server.id}`);
        const report = deps.sheet.failureReport(server.id);
        deps.world.recordEvent({ what: 'sighted', server: server.id });
        if (report?.born === server.born && report.by === deps.self) return;
        deps.purge.publish({
          name: `sight:${server.id}`,
          mark: [(stamp?.[0] ?? 0) + 1, Random.int(deps.world.random, 1e6)],
          body: { server: server.id, born: server.born, by: deps.self },
        });
      },
      /** Ejects a server that a peer has reported. */
      receive(doc: Doc): void {
        const server = deps.town.all().find((x) => `sight:${x.id}` === doc.name);
        const report = deps.sheet.failureReport(server?.id ?? '');
        if (
          !server ||
          report?.born !== server.born ||
          report.by === deps.self ||
          deps.ejections.has(server.id, server.born)
        )
          return;
        deps.ejections.add(server.id, server.born, EJECTION_MS / 2);
      },
    };
  },
};
