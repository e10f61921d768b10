import type { Doc, PostBox, Result, WireFault } from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import { DocParts } from './docparts.js';
import type { Holding } from './holding.js';
import { Slips } from './slips.js';

type Pulled = Static<typeof Slips.pulled>;

/**
 * Versions of docs fetched from others, and handed to them. Of a long doc the puller names the chunks that it holds,
 * and is told only what the newer version has beside them. Invariants: a part goes only to who named what it holds, so
 * never to a daemon of a release that knows no parts; where a part does not fit, or one of such a release turns the
 * asking away, the whole is asked for, once.
 */
export const DocPuller = {
  make(post: PostBox, shelf: Holding, wait: number) {
    const parts = DocParts.make();
    const count = { parts: 0, again: 0 };
    const ask = (addr: string, id: string, body: { name: string; held?: string }): Promise<Result<Pulled, WireFault>> =>
      post.ask(addr, id, 'purge.pull', body, Slips.pulled, wait);
    post.on('purge.pull', Slips.pull, (body) => {
      const doc = shelf.get(body.name);
      const part = doc && body.held !== undefined ? parts.part(doc, body.held) : null;
      return part ? { doc: null, part } : { doc };
    });
    return {
      async pull(addr: string, id: string, name: string): Promise<Doc | null> {
        const old = shelf.get(name),
          held = parts.held(old);
        if (old && held !== null) {
          const got = await ask(addr, id, { name, held });
          if (got.err && got.val !== 'wrong') return null;
          if (got.ok && !got.val.part) return got.val.doc;
          const doc = got.ok ? parts.lay(old, got.val.part!) : null;
          if (doc) {
            count.parts++;
            return doc;
          }
          count.again++;
        }
        const got = await ask(addr, id, { name });
        return got.ok ? got.val.doc : null;
      },
      counters: () => ({ ...count }),
    };
  },
};
