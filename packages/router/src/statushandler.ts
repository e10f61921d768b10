import { Configurations, type Clock, type Ident, type VersionStamp, type Messenger } from '@pumicebarrow/forms';
import type { RecordStore } from '@pumicebarrow/purge';
import type { ConfigurationBody, StageAssignment, View } from '@pumicebarrow/registry';
import { Type } from 'typebox';
import { DaemonStatus } from './daemonstatus.js';
import type { ServerListBody } from './serverlistbody.js';
import { ServerListRows } from './serverlistrows.js';
import type { Server } from './server.js';

type Dependencies = {
  clock: Clock;
  post: Messenger;
  store: RecordStore;
  self: () => Ident;
  state: () => string;
  isConfirmed: () => boolean;
  view: () => View | null;
  isActingHead: () => boolean;
  /** Age and freshness of the server list; null if this daemon has none to report. */
  list: () => { age: number; isFresh: boolean } | null;
  msSinceHeadReply: () => number | null;
  /** Ids of servers under suspicion. */
  suspected: () => readonly string[];
  knownDaemons: () => readonly Ident[];
};
const finite = (ms: number | null): number | null => (ms !== null && Number.isFinite(ms) ? ms : null);

/** Answers operators' status queries. Invariant: status is collected and sent only on request. */
export const StatusHandler = {
  schemas: {
    request: Type.Object({ servers: Type.Boolean() }, { additionalProperties: false }),
    response: DaemonStatus,
  },
  make(deps: Dependencies): void {
    let configurationSince = deps.clock.mono();
    deps.store.onChange((doc) => {
      if (doc.name === 'charter') configurationSince = deps.clock.mono();
    });
    const configuration = (): DaemonStatus['configuration'] => {
      const doc = deps.store.get('charter');
      if (!doc) return null;
      const revision = Configurations.revisionOf((doc.body as ConfigurationBody).charter);
      return { revision, version: doc.mark[0], age: deps.clock.mono() - configurationSince };
    };
    const heldList = (): ServerListBody =>
      (deps.store.get('list')?.body as ServerListBody | undefined) ?? { rows: [], services: [], zones: [] };
    const orders = (): NonNullable<DaemonStatus['orders']> =>
      [...deps.store.records().values()]
        .filter((doc) => doc.name.startsWith('row:'))
        .map((d) => {
          const row = d.body as StageAssignment;
          return { server: row.server, stage: row.part, done: row.stage === 'serving', by: row.by, mark: d.mark };
        });
    deps.post.on('status.tell', StatusHandler.schemas.request, (body): DaemonStatus => {
      const list = deps.list();
      const mark: VersionStamp | null = deps.store.stamp('list');
      const servers = (): Server[] => ServerListRows.unpack(heldList());
      return {
        ...{
          who: deps.self(),
          state: deps.state(),
          sure: deps.isConfirmed(),
          view: deps.view(),
          head: deps.isActingHead(),
        },
        configuration: configuration(),
        list: { mark, age: finite(list?.age ?? null), young: list?.isFresh ?? true, servers: heldList().rows.length },
        silent: finite(deps.msSinceHeadReply()),
        suspected: [...deps.suspected()],
        known: [...deps.knownDaemons()],
        servers: body.servers ? servers() : null,
        orders: body.servers ? orders() : null,
      };
    });
  },
};
