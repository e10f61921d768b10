import type { Verdict } from '@pumicebarrow/forms';
import type { CallerSink } from './callersink.js';

/** The longest text that the core keeps of an answer. */
const MOST = 4096;
type Taken = { whole: { count: number; digest: string } | null; text: () => string; sink: CallerSink };
type Outcome = { to: 'ran' | 'unrun' | 'unsure'; text?: string; count?: number; digest?: string; why?: string };

/** Takes in one generation's answer, and says what became of it. */
export const Takes = {
  make(): Taken {
    const pieces: string[] = [];
    const t: Taken = {
      whole: null,
      text: () => pieces.join(''),
      sink: {
        piece: (_n, text) => {
          pieces.push(text);
        },
        end(count, digest) {
          t.whole = { count, digest };
        },
        cut: () => undefined,
        refuse: () => undefined,
        gone: () => false,
      },
    };
    return t;
  },
  /** Only a whole answer is 'ran', and only a verdict of no is 'unrun'; of one too long, count and digest are kept. */
  outcome(v: Verdict, t: Taken): Outcome {
    const why = `${v.code}: ${v.why}`.slice(0, 200);
    if (t.whole) {
      const text = t.text();
      return text.length > MOST
        ? { to: 'ran', ...t.whole, why: 'too long to be kept' }
        : { to: 'ran', ...t.whole, text };
    }
    return v.ran === 'no' ? { to: 'unrun' } : { to: 'unsure', why };
  },
};
