import { Hash, Order, type Clock, type Ident, type Mark, type PostBox } from '@pumicebarrow/forms';
import { Slips, type Holding, type Purging } from '@pumicebarrow/purge';
import { Views, type ControlClient } from '@pumicebarrow/registry';
import type { ListBody } from './listbody.js';
import { ListRows } from './listrows.js';
import type { ServerListing } from './serverlisting.js';
import { Words } from './words.js';

type Tools = {
  clock: Clock;
  post: PostBox;
  line: ControlClient;
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
 * brought within LAG is fetched, and counted apart; where versions come in quick succession, each has its own LAG.
 */
export const HeadLine = {
  make(t: Tools) {
    let routers: number | null = null;
    let peers: readonly Ident[] = [];
    let sum = Hash.of(peers);
    let told = -Infinity;
    /** When what is held was last known to be the newest configuration. */
    let confirmed = -Infinity;
    let opened: Mark | null = null;
    let wanted: { version: number; at: number } | null = null;
    let listAt = -1;
    const count = { fetchedVersions: 0, fetchedLists: 0 };
    /** A version counts as late by itself: where one follows the other, gossip that brings each in time keeps up. */
    const want = (newest: number): void => {
      const held = t.version();
      if (newest <= held) wanted = null;
      else if (!wanted || wanted.version <= held) wanted = { version: newest, at: t.clock.mono() };
    };
    const fetchList = async (addr: string, id: string): Promise<void> => {
      const got = await t.post.ask(addr, id, 'purge.pull', { name: 'list' }, Slips.pulled, ASK);
      if (got.ok && got.val.doc && t.purge.learn(got.val.doc, 'head')) count.fetchedLists++;
    };
    const catchUp = async (addr: string, id: string): Promise<void> => {
      const now = t.clock.mono();
      if (listAt >= 0 && now - listAt > LAG) await fetchList(addr, id);
      if (wanted && now - wanted.at > LAG && (await t.tail(400))) count.fetchedVersions++;
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
      if (r.val.version <= body.version) confirmed = sent;
      routers = r.val.routers;
      if (r.val.peers) {
        peers = r.val.peers;
        sum = Hash.of(peers);
      }
      const fits = compare(r.val.list, r.val.age, sent);
      want(r.val.version);
      if (r.val.list === null || fits) listAt = -1;
      else if (listAt < 0) listAt = t.clock.mono();
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
      /** ms since the head last said that nothing is newer than the configuration held, from before it was asked. */
      unconfirmed: (): number => t.clock.mono() - confirmed,
      count: () => ({ ...count }),
    };
  },
};
