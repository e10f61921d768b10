import { Hash, type Doc, type Mark } from '@pumicebarrow/forms';
import { Chunks } from './chunks.js';
import type { DocPart } from './docpart.js';

/** Characters from which on a doc is handed on by parts; what is shorter goes whole, as it ever did. */
const LEAST = 65_536;
/** What the text of an answer may be of the whole; beyond it the whole is as good. */
const PART = 0.5;
type Cut = { chunks: readonly string[]; sums: readonly string[]; length: number; sum: string };

/**
 * Docs by the chunks of their text, cut once a version. Invariant: a doc that was laid together from chunks held and
 * texts told is word for word the one that was told of, or there is none.
 */
export const DocParts = {
  MIN_DELTA_CHARS: LEAST,
  digest: (name: string, mark: Mark, text: string): string => Hash.text(`${name} ${mark.join(' ')} ${text}`),
  /** `least` is the length of text from which on a doc is handed on by parts. */
  make(least = LEAST) {
    const known = new WeakMap<Doc, Cut | null>();
    const take = (text: string, sum: string): Cut => {
      const chunks = Chunks.split(text);
      return { chunks, sums: chunks.map(Chunks.digest), length: text.length, sum };
    };
    const cut = (doc: Doc): Cut | null => {
      const old = known.get(doc);
      if (old !== undefined) return old;
      const text = JSON.stringify(doc.body) ?? '';
      const made = text.length < least ? null : take(text, DocParts.digest(doc.name, doc.mark, text));
      known.set(doc, made);
      return made;
    };
    return {
      /** The digests of its chunks, to be named where a newer version is asked for; null of a doc that goes whole. */
      held: (doc: Doc | null): string | null => (doc ? (cut(doc)?.sums.join('') ?? null) : null),
      /** What the doc has beside the chunks named; null where the whole is as good. */
      part(doc: Doc, held: string): DocPart | null {
        const own = cut(doc);
        if (!own) return null;
        const places = new Map<string, number>();
        for (let i = 0; i * Chunks.DIGEST_CHARS < held.length; i++) {
          const sum = held.slice(i * Chunks.DIGEST_CHARS, (i + 1) * Chunks.DIGEST_CHARS);
          if (!places.has(sum)) places.set(sum, i);
        }
        const pieces: (string | [number, number])[] = [];
        let told = 0;
        own.chunks.forEach((chunk, i) => {
          const at = places.get(own.sums[i]!);
          const last = pieces.at(-1);
          if (at === undefined) {
            told += chunk.length;
            if (typeof last === 'string') pieces[pieces.length - 1] = last + chunk;
            else pieces.push(chunk);
          } else if (last !== undefined && typeof last !== 'string' && last[0] + last[1] === at) last[1]++;
          else pieces.push([at, 1]);
        });
        if (told > own.length * PART) return null;
        return { mark: doc.mark, sum: own.sum, pieces };
      },
      /** The doc that a part makes of the one held; null where it does not give what was told of. */
      lay(old: Doc, part: DocPart): Doc | null {
        const own = cut(old);
        if (!own) return null;
        const chunks: string[] = [],
          sums: string[] = [];
        for (const p of part.pieces) {
          // Texts begin and end where chunks do, so cut alone they are cut as in the whole.
          const some = typeof p === 'string' ? Chunks.split(p) : own.chunks.slice(p[0], p[0] + p[1]);
          chunks.push(...some);
          sums.push(...(typeof p === 'string' ? some.map(Chunks.digest) : own.sums.slice(p[0], p[0] + p[1])));
        }
        const text = chunks.join('');
        if (DocParts.digest(old.name, part.mark, text) !== part.sum) return null;
        const made = { name: old.name, mark: part.mark, body: JSON.parse(text) as unknown };
        known.set(made, text.length < least ? null : { chunks, sums, length: text.length, sum: part.sum });
        return made;
      },
    };
  },
};
