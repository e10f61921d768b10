import { Intents, type Clock, type Ident, type Mark, type PostBox } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { CharterBody, SheetRow, View } from '@pumicebarrow/registry';
import { Type } from 'typebox';
import { DaemonStatus } from './daemonstatus.js';
import type { ListBody } from './listbody.js';
import { ListRows } from './listrows.js';
import type { Server } from './server.js';

type Dependencies = {
  clock: Clock;
  post: PostBox;
  store: Holding;
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
export const StatusDesk = {
  forms: {
    request: Type.Object({ servers: Type.Boolean() }, { additionalProperties: false }),
    told: DaemonStatus,
  },
  make(deps: Dependencies): void {
    let configurationSince = deps.clock.mono();
    deps.store.heed((doc) => {
      if (doc.name === 'charter') configurationSince = deps.clock.mono();
    });
    const configuration = (): DaemonStatus['configuration'] => {
      const doc = deps.store.get('charter');
      if (!doc) return null;
      const revision = Intents.revision((doc.body as CharterBody).charter);
      return { revision, version: doc.mark[0], age: deps.clock.mono() - configurationSince };
    };
    const heldList = (): ListBody =>
      (deps.store.get('list')?.body as ListBody | undefined) ?? { rows: [], services: [], zones: [] };
    const orders = (): NonNullable<DaemonStatus['orders']> =>
      [...deps.store.table().values()]
        .filter((doc) => doc.name.startsWith('row:'))
        .map((d) => {
          const row = d.body as SheetRow;
          return { server: row.server, stage: row.part, done: row.stage === 'serving', by: row.by, mark: d.mark };
        });
    deps.post.on('status.tell', StatusDesk.forms.request, (body): DaemonStatus => {
      const list = deps.list();
      const mark: Mark | null = deps.store.mark('list');
      const servers = (): Server[] => ListRows.open(heldList());
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
