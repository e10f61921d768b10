import { Hash, type Doc, type VersionStamp } from '@pumicebarrow/forms';
import { Chunks } from './chunks.js';
import type { DocDelta } from './docdelta.js';

/** Records with a shorter text are always sent whole. */
const MIN_DELTA_CHARS = 65_536;
/** A delta whose literal text exceeds this fraction of the record is not worth sending: the whole is sent instead. */
const MAX_LITERAL_FRACTION = 0.5;
type ChunkedDoc = { chunks: readonly string[]; digests: readonly string[]; length: number; sum: string };

/**
 * Computes and applies deltas between versions of a record, by chunks of its JSON text. Each version is split once.
 * Invariant: applying a delta gives exactly the version that it was computed from, or null.
 */
export const DocDeltas = {
  MIN_DELTA_CHARS,
  /** The digest of one version of a record. */
  digest: (name: string, mark: VersionStamp, text: string): string => Hash.ofText(`${name} ${mark.join(' ')} ${text}`),
  /** Records with a text shorter than `minChars` are sent whole. */
  make(minChars = MIN_DELTA_CHARS) {
    const cache = new WeakMap<Doc, ChunkedDoc | null>();
    const split = (text: string, sum: string): ChunkedDoc => {
      const chunks = Chunks.split(text);
      return { chunks, digests: chunks.map(Chunks.digest), length: text.length, sum };
    };
    /** The chunks of a record; null if it is short enough to be sent whole. */
    const chunked = (doc: Doc): ChunkedDoc | null => {
      const cached = cache.get(doc);
      if (cached !== undefined) return cached;
      const text = JSON.stringify(doc.body) ?? '';
      const made = text.length < minChars ? null : split(text, DocDeltas.digest(doc.name, doc.mark, text));
      cache.set(doc, made);
      return made;
    };
    return {
      /** The digests of a record's chunks, to be sent with a request for a newer version; null if it is sent whole. */
      chunkDigests: (doc: Doc | null): string | null => (doc ? (chunked(doc)?.digests.join('') ?? null) : null),
      /** The delta of a record against the chunks that the requester holds; null if the whole should be sent. */
      diff(doc: Doc, held: string): DocDelta | null {
        const own = chunked(doc);
        if (!own) return null;
        const indexByDigest = new Map<string, number>();
        for (let i = 0; i * Chunks.DIGEST_CHARS < held.length; i++) {
          const digest = held.slice(i * Chunks.DIGEST_CHARS, (i + 1) * Chunks.DIGEST_CHARS);
          if (!indexByDigest.has(digest)) indexByDigest.set(digest, i);
        }
        const pieces: (string | [number, number])[] = [];
        let literalChars = 0;
        own.chunks.forEach((chunk, i) => {
          const index = indexByDigest.get(own.digests[i]!);
          const last = pieces.at(-1);
          if (index === undefined) {
            literalChars += chunk.length;
            if (typeof last === 'string') pieces[pieces.length - 1] = last + chunk;
            else pieces.push(chunk);
          } else if (last !== undefined && typeof last !== 'string' && last[0] + last[1] === index) last[1]++;
          else pieces.push([index, 1]);
        });
        if (literalChars > own.length * MAX_LITERAL_FRACTION) return null;
        return { mark: doc.mark, sum: own.sum, pieces };
      },
      /** The version that a delta makes of the version held; null if its digest is not that of the delta. */
      apply(held: Doc, delta: DocDelta): Doc | null {
        const own = chunked(held);
        if (!own) return null;
        const chunks: string[] = [],
          digests: string[] = [];
        for (const piece of delta.pieces) {
          // Literal texts begin and end at chunk boundaries, so they split as they do within the whole text.
          const added =
            typeof piece === 'string' ? Chunks.split(piece) : own.chunks.slice(piece[0], piece[0] + piece[1]);
          chunks.push(...added);
          digests.push(
            ...(typeof piece === 'string'
              ? added.map(Chunks.digest)
              : own.digests.slice(piece[0], piece[0] + piece[1])),
          );
        }
        const text = chunks.join('');
        if (DocDeltas.digest(held.name, delta.mark, text) !== delta.sum) return null;
        const made = { name: held.name, mark: delta.mark, body: JSON.parse(text) as unknown };
        cache.set(made, text.length < minChars ? null : { chunks, digests, length: text.length, sum: delta.sum });
        return made;
      },
    };
  },
};
