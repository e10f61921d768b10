import { Hash, type Clock, type Ident, type Mark, type PostBox } from '@pumicebarrow/forms';
import type { View } from '@pumicebarrow/registry';
import { Nearest } from './nearest.js';
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
/** What a router says that it holds while it has no peers. */
const NONE = Hash.of([]);
type Load = { read: number; beside: number; run: number };
type Seen = { who: Ident; load: Load; until: number };

/**
 * Where routers check in with the head. What it knows of them is soft: lost with the head, and learnt again.
 * Invariant: rows lie in the order of their ends, as each is set for the same time.
 */
export const ReplicaHandler = {
  make(t: Tools) {
    const seen = new Map<string, Seen>();
    const nearest = Nearest.make({ mono: t.clock.mono, many: FEW });
    const drop = (id: string): void => {
      seen.delete(id);
      nearest.left(id);
    };
    const tidy = (): void => {
      const now = t.clock.mono();
      for (const [id, s] of seen) {
        if (s.until > now && seen.size <= MOST) break;
        drop(id);
      }
    };
    const note = (who: Ident, load: Load): void => {
      if (!seen.delete(who.id)) nearest.joined(who.id);
      seen.set(who.id, { who, load, until: t.clock.mono() + GONE });
    };
    const live = (): Seen[] => {
      tidy();
      return [...seen.values()];
    };
    /**
     * The same few for one router for as long as they live, and each router a peer of about as many others. Until all
     * are weighed for it, one that has peers keeps them.
     */
    const fresh = (who: Ident, held: string): Ident[] | null => {
      const few = seen.size - (seen.has(who.id) ? 1 : 0) > PEERS;
      const { ids, whole } = few
        ? nearest.of(who.id)
        : { ids: [...seen.keys()].filter((id) => id !== who.id), whole: true };
      if (!whole && held !== NONE) return null;
      const now = [...ids].sort().map((id) => seen.get(id)!.who);
      return Hash.of(now) === held ? null : now;
    };
    t.post.on('keeper.checkin', Words.checkinRequest, (body, from) => {
      const ok = t.speaks();
      const view = t.view();
      tidy();
      if (ok) note(from, body.load);
      const list = ok ? t.list() : null;
      return {
        ok,
        view: view && view.epoch > body.epoch ? view : null,
        version: t.version(),
        list: list?.mark ?? null,
        age: list?.age ?? 0,
        routers: seen.size,
        peers: ok ? fresh(from, body.peers) : null,
      };
    });
    return {
      routers: (): Ident[] => live().map((s) => s.who),
      /** What all routers together have under way: prompt tokens at readers, others at decoders, and runs. */
      load: (): Load =>
        live().reduce(
          (a, { load }) => ({ read: a.read + load.read, beside: a.beside + load.beside, run: a.run + load.run }),
          { read: 0, beside: 0, run: 0 },
        ),
    };
  },
};
