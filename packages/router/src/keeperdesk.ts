import { Fading, Hash, Lot, type Clock, type Ident, type Mark, type PostBox } from '@pumicebarrow/forms';
import type { View } from '@pumicebarrow/registry';
import { Words } from './words.js';

type Tools = {
  clock: Clock;
  post: PostBox;
  view: () => View | null;
  /** Whether this daemon is the head and may speak for the view. */
  speaks: () => boolean;
  version: () => number;
  /** The list as this daemon last had it of the platform under the present view. */
  list: () => { mark: Mark; age: number } | null;
};
const MOST = 20_000;
const GONE = 2000;
/** How many others a router tells of its loads: all of a small fleet, few of a larger one. */
const PEERS = 16;
const FEW = 6;
type Load = { read: number; beside: number; run: number };
type Seen = { who: Ident; load: Load };

/** Where routers check in with the head. What it knows of them is soft: lost with the head, and learnt again. */
export const KeeperDesk = {
  make(t: Tools) {
    const seen = Fading.make<Seen>(t.clock.mono, MOST);
    /** The same few for one router for as long as they live, and each router a peer of about as many others. */
    const peers = (who: Ident): Ident[] => {
      const others = seen.all().flatMap((s) => (s.who.id === who.id ? [] : [s.who]));
      const some = others.length <= PEERS ? others : Lot.rank(who.id, others, (o) => o.id).slice(0, FEW);
      return some.sort((a, b) => (a.id < b.id ? -1 : 1));
    };
    const fresh = (who: Ident, held: string): Ident[] | null => {
      const now = peers(who);
      return Hash.of(now) === held ? null : now;
    };
    t.post.on('keeper.checkin', Words.checkin, (body, from) => {
      const ok = t.speaks();
      const view = t.view();
      if (ok) seen.set(from.id, { who: from, load: body.load }, GONE);
      const list = ok ? t.list() : null;
      return {
        ok,
        view: view && view.epoch > body.epoch ? view : null,
        version: t.version(),
        list: list?.mark ?? null,
        age: list?.age ?? 0,
        routers: seen.size(),
        peers: ok ? fresh(from, body.peers) : null,
      };
    });
    return {
      routers: (): Ident[] => seen.all().map((s) => s.who),
      /** What all routers together have under way: prompt tokens at readers, others at decoders, and runs. */
      load: (): Load =>
        seen
          .all()
          .reduce(
            (a, { load }) => ({ read: a.read + load.read, beside: a.beside + load.beside, run: a.run + load.run }),
            { read: 0, beside: 0, run: 0 },
          ),
    };
  },
};
