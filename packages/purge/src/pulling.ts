import type { Doc, PostBox, Result, WireFault } from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import { DocParts } from './docparts.js';
import type { Holding } from './holding.js';
import { Slips } from './slips.js';

type PullReply = Static<typeof Slips.pulled>;

/**
 * Pulls versions of records from other daemons and serves their pulls. A request for a long record names the chunks
 * that the requester holds, and the reply may then be a delta. Invariants: a delta is sent only to a daemon that named
 * the chunks it holds, so never to one of a release that does not know deltas; if a delta does not apply, or a daemon
 * of such a release refuses the request, the whole record is requested, once.
 */
export const DocPuller = {
  make(post: PostBox, recordStore: Holding, timeoutMs: number) {
    const deltas = DocParts.make();
    const counters = { parts: 0, again: 0 };
    const request = (
      addr: string,
      id: string,
      body: { name: string; held?: string },
    ): Promise<Result<PullReply, WireFault>> => post.ask(addr, id, 'purge.pull', body, Slips.pulled, timeoutMs);
    post.on('purge.pull', Slips.pull, (body) => {
      const doc = recordStore.get(body.name);
      const part = doc && body.held !== undefined ? deltas.part(doc, body.held) : null;
      return part ? { doc: null, part } : { doc };
    });
    return {
      /** Requests the version that a daemon holds; null if it holds none or there is no valid reply. */
      async pull(addr: string, id: string, name: string): Promise<Doc | null> {
        const own = recordStore.get(name),
          held = deltas.held(own);
        if (own && held !== null) {
          const reply = await request(addr, id, { name, held });
          if (reply.err && reply.val !== 'wrong') return null;
          if (reply.ok && !reply.val.part) return reply.val.doc;
          const doc = reply.ok ? deltas.lay(own, reply.val.part!) : null;
          if (doc) {
            counters.parts++;
            return doc;
          }
          counters.again++;
        }
        const reply = await request(addr, id, { name });
        return reply.ok ? reply.val.doc : null;
      },
      /** `parts`: pulls answered by a delta; `again`: pulls repeated for the whole record. */
      counters: () => ({ ...counters }),
    };
  },
};
