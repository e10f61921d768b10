import type { Doc, Messenger, Result, RequestError } from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import { DocDeltas } from './docdeltas.js';
import type { RecordStore } from './recordstore.js';
import { GossipSchemas } from './gossipschemas.js';

type PullReply = Static<typeof GossipSchemas.pulled>;

/**
 * Pulls versions of records from other daemons and serves their pulls. A request for a long record names the chunks
 * that the requester holds, and the reply may then be a delta. Invariants: a delta is sent only to a daemon that named
 * the chunks it holds, so never to one of a release that does not know deltas; if a delta does not apply, or a daemon
 * of such a release refuses the request, the whole record is requested, once.
 */
export const DocPuller = {
  make(post: Messenger, recordStore: RecordStore, timeoutMs: number) {
    const deltas = DocDeltas.make();
    const counters = { parts: 0, again: 0 };
    const request = (
      addr: string,
      id: string,
      body: { name: string; held?: string },
    ): Promise<Result<PullReply, RequestError>> =>
      post.ask(addr, id, 'purge.pull', body, GossipSchemas.pulled, timeoutMs);
    post.on('purge.pull', GossipSchemas.pull, (body) => {
      const doc = recordStore.get(body.name);
      const part = doc && body.held !== undefined ? deltas.diff(doc, body.held) : null;
      return part ? { doc: null, part } : { doc };
    });
    return {
      /** Requests the version that a daemon holds; null if it holds none or there is no valid reply. */
      async pull(addr: string, id: string, name: string): Promise<Doc | null> {
        const own = recordStore.get(name),
          held = deltas.chunkDigests(own);
        if (own && held !== null) {
          const reply = await request(addr, id, { name, held });
          if (reply.err && reply.val !== 'wrong') return null;
          if (reply.ok && !reply.val.part) return reply.val.doc;
          const doc = reply.ok ? deltas.apply(own, reply.val.part!) : null;
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
