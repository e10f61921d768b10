import { Fading, type Clock, type Ident, type Mark, type PostBox } from '@pumicebarrow/forms';
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

/** Where routers check in with the head. What it knows of them is soft: lost with the head, and learnt again. */
export const KeeperDesk = {
  make(t: Tools) {
    const seen = Fading.make<Ident>(t.clock.mono, MOST);
    t.post.on('keeper.checkin', Words.checkin, (body, from) => {
      const ok = t.speaks();
      const view = t.view();
      if (ok) seen.set(from.id, from, GONE);
      const list = ok ? t.list() : null;
      return {
        ok,
        view: view && view.epoch > body.epoch ? view : null,
        version: t.version(),
        list: list?.mark ?? null,
        age: list?.age ?? 0,
        routers: seen.size(),
      };
    });
    return { routers: (): Ident[] => seen.all() };
  },
};
