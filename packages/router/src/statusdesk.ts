import { Intents, type Clock, type Ident, type Mark, type PostBox } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { CharterBody, SheetRow, View } from '@pumicebarrow/registry';
import { Type } from 'typebox';
import { DaemonStatus } from './daemonstatus.js';
import type { ListBody } from './listbody.js';
import { ListRows } from './listrows.js';
import type { Server } from './server.js';

type Tools = {
  clock: Clock;
  post: PostBox;
  shelf: Holding;
  self: () => Ident;
  state: () => string;
  sure: () => boolean;
  view: () => View | null;
  head: () => boolean;
  /** The list as it may be sent by; null where this daemon sends nothing. */
  list: () => { age: number; young: boolean } | null;
  silent: () => number | null;
  suspected: () => readonly string[];
  known: () => readonly Ident[];
};
const finite = (ms: number | null): number | null => (ms !== null && Number.isFinite(ms) ? ms : null);

/** Where a router or control replica tells operators how it stands. Invariant: nothing is gathered or sent unasked. */
export const StatusDesk = {
  forms: {
    request: Type.Object({ servers: Type.Boolean() }, { additionalProperties: false }),
    told: DaemonStatus,
  },
  make(t: Tools): void {
    let since = t.clock.mono();
    t.shelf.heed((doc) => {
      if (doc.name === 'charter') since = t.clock.mono();
    });
    const configuration = (): DaemonStatus['configuration'] => {
      const doc = t.shelf.get('charter');
      if (!doc) return null;
      const revision = Intents.revision((doc.body as CharterBody).charter);
      return { revision, version: doc.mark[0], age: t.clock.mono() - since };
    };
    const held = (): ListBody =>
      (t.shelf.get('list')?.body as ListBody | undefined) ?? { rows: [], services: [], zones: [] };
    const orders = (): NonNullable<DaemonStatus['orders']> =>
      [...t.shelf.table().values()]
        .filter((d) => d.name.startsWith('row:'))
        .map((d) => {
          const row = d.body as SheetRow;
          return { server: row.server, stage: row.part, done: row.stage === 'serving', by: row.by, mark: d.mark };
        });
    t.post.on('status.tell', StatusDesk.forms.request, (body): DaemonStatus => {
      const list = t.list();
      const mark: Mark | null = t.shelf.mark('list');
      const servers = (): Server[] => ListRows.open(held());
      return {
        ...{ who: t.self(), state: t.state(), sure: t.sure(), view: t.view(), head: t.head() },
        configuration: configuration(),
        list: { mark, age: finite(list?.age ?? null), young: list?.young ?? true, servers: held().rows.length },
        silent: finite(t.silent()),
        suspected: [...t.suspected()],
        known: [...t.known()],
        servers: body.servers ? servers() : null,
        orders: body.servers ? orders() : null,
      };
    });
  },
};
