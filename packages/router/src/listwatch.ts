import { Check, Dice, Order, Timer, type Ident, type Mark, type PostBox, type World } from '@pumicebarrow/forms';
import { ListBody } from './listbody.js';
import { ListRows } from './listrows.js';
import type { ListSource } from './listsource.js';
import type { ServerListing } from './serverlisting.js';
import { Words } from './words.js';

type Tools = {
  world: World;
  post: PostBox;
  list: ServerListing;
  source: ListSource;
  peers: () => readonly Ident[];
  /** The mark of the shared list where that is the one held. */
  mark: () => Mark | null;
  /** ms: an age at which the fallback begins, well under what bars sending. */
  worry: () => number;
  daemons: () => number | null;
};
const LOOK = 150;
/** ms after which it looks again although the list is young, as it may have been dropped meanwhile. */
const CALM = 600;
const ASK = 400;
const PEERS = 2;
const CROWD = 24;

/**
 * What a router does when no word of the list comes from the head: it asks two others, and failing that the platform.
 * Invariants: a list that both hold is named by its mark and not sent; an age travels with it and is counted from
 * before it was asked for; the more daemons there are, the fewer of them ask the platform at once.
 */
export const ListWatch = {
  make(t: Tools) {
    const { clock, chance } = t.world;
    const count = { asked: 0, shared: 0 };
    let stop: () => void = () => undefined;
    /** What was said of the list under this mark holds only while that is the one held. */
    const same = (mark: Mark, at: number): boolean => {
      if (Order.cmp(mark, t.mark()) !== 0 || at <= clock.mono() - t.list.age()) return false;
      return t.list.confirm(at);
    };
    const fromPeer = async (who: Ident): Promise<boolean> => {
      const at = clock.mono(),
        mark = t.mark();
      const r = await t.post.ask(who.addr, who.id, 'router.list', { mark }, Words.list, ASK);
      if (!r.ok) return false;
      if (mark && Order.cmp(mark, r.val.mark) === 0) return same(mark, at - r.val.age);
      if (r.val.servers === null || !Check.is(ListBody, r.val.servers)) return false;
      if (at - r.val.age <= clock.mono() - t.list.age()) return false;
      t.list.take(ListRows.open(r.val.servers as ListBody), at - r.val.age, 'asked');
      return true;
    };
    const fromPlatform = async (): Promise<void> => {
      const at = clock.mono();
      count.asked++;
      const got = await t.source.poll();
      if (got.ok) t.list.take(got.val, at, 'asked');
    };
    const tick = async (): Promise<void> => {
      if (t.list.age() < t.worry()) return;
      const some = Dice.some(chance, t.peers(), PEERS);
      const got = await Promise.all(some.map(fromPeer));
      if (got.some((g) => g)) count.shared++;
      if (t.list.age() < t.worry()) return;
      const many = t.daemons() ?? 1;
      if (many <= CROWD || !t.list.young() || chance.real() < CROWD / many) await fromPlatform();
    };
    t.post.on('router.list', Words.ask, (body) => {
      const young = t.list.young();
      const known = young && body.mark ? Order.cmp(body.mark, t.mark()) === 0 : false;
      return {
        mark: known ? t.mark() : null,
        age: young ? t.list.age() : 0,
        servers: young && !known ? ListRows.pack(t.list.seen()) : null,
      };
    });
    return {
      start(): void {
        stop = Timer.paced(clock, () => Math.min(CALM, Math.max(LOOK, t.worry() - t.list.age())), tick);
      },
      stop: (): void => stop(),
      tick,
      count: () => ({ ...count }),
    };
  },
};
