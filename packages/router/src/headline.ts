import { Hash, Order, type Clock, type Ident, type Mark, type PostBox } from '@pumicebarrow/forms';
import { Slips, type Holding, type Purging } from '@pumicebarrow/purge';
import { Views, type CoreLine } from '@pumicebarrow/registry';
import type { ListBody } from './listbody.js';
import { ListRows } from './listrows.js';
import type { ServerListing } from './serverlisting.js';
import { Words } from './words.js';

type Tools = {
  clock: Clock;
  post: PostBox;
  line: CoreLine;
  shelf: Holding;
  purge: Purging;
  list: ServerListing;
  version: () => number;
  load: () => { read: number; beside: number; run: number };
  /** Reads the configuration at the tail. */
  tail: (ms: number) => Promise<boolean>;
};
const ASK = 500;
/** ms that gossip is given before what is newer is fetched from the head. */
const LAG = 500;

/**
 * A router's word with the chain's head: what it holds, and whether that is the newest.
 * Invariants: the list's youth is taken from the head alone, and counted from before it was asked; what gossip has not
 * brought within LAG is fetched, and counted apart.
 */
export const HeadLine = {
  make(t: Tools) {
    let routers: number | null = null;
    let peers: readonly Ident[] = [];
    let sum = Hash.of(peers);
    let told = -Infinity;
    let opened: Mark | null = null;
    let behind = { version: -1, list: -1 };
    const count = { fetchedVersions: 0, fetchedLists: 0 };
    const since = (was: number, late: boolean): number => (!late ? -1 : was < 0 ? t.clock.mono() : was);
    const fetchList = async (addr: string, id: string): Promise<void> => {
      const got = await t.post.ask(addr, id, 'purge.pull', { name: 'list' }, Slips.pulled, ASK);
      if (got.ok && got.val.doc && t.purge.learn(got.val.doc, 'head')) count.fetchedLists++;
    };
    const catchUp = async (addr: string, id: string): Promise<void> => {
      const now = t.clock.mono();
      if (behind.list >= 0 && now - behind.list > LAG) await fetchList(addr, id);
      if (behind.version >= 0 && now - behind.version > LAG && (await t.tail(400))) count.fetchedVersions++;
    };
    const compare = (mark: Mark | null, age: number, sent: number): boolean => {
      const held = t.shelf.get('list');
      if (!mark || !held || Order.newer(mark, held.mark)) return false;
      if (Order.cmp(mark, held.mark) !== 0) return true;
      // What is held is opened once; then its youth alone is news, unless a list of another asking came between.
      const known = opened !== null && Order.cmp(mark, opened) === 0;
      if (known && t.list.confirm(sent - age)) return true;
      if (t.list.take(ListRows.open(held.body as ListBody), sent - age, 'shared')) opened = mark;
      return true;
    };
    const ask = async (): Promise<boolean> => {
      const view = t.line.view();
      if (!view) return false;
      const head = Views.head(view);
      const sent = t.clock.mono();
      const body = {
        ...{ version: t.version(), list: t.shelf.mark('list'), epoch: view.epoch },
        ...{ peers: sum, load: t.load() },
      };
      const r = await t.post.ask(head.addr, head.id, 'keeper.checkin', body, Words.checked, ASK);
      if (!r.ok) return false;
      t.line.learn(r.val.view);
      if (!r.val.ok) return false;
      told = sent;
      routers = r.val.routers;
      if (r.val.peers) {
        peers = r.val.peers;
        sum = Hash.of(peers);
      }
      const fits = compare(r.val.list, r.val.age, sent);
      behind = {
        version: since(behind.version, r.val.version > t.version()),
        list: since(behind.list, r.val.list !== null && !fits),
      };
      await catchUp(head.addr, head.id);
      return true;
    };
    return {
      async tick(): Promise<void> {
        if (!(await ask())) await t.line.look();
      },
      routers: (): number | null => routers,
      peers: (): readonly Ident[] => peers,
      /** ms since the head last replied as such, counted from before it was asked. */
      silent: (): number => t.clock.mono() - told,
      count: () => ({ ...count }),
    };
  },
};
