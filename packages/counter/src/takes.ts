import type { Verdict } from '@pumicebarrow/forms';
import type { CallerSink } from './callersink.js';

/** The longest text that the core keeps of an answer, and the most pieces of one that was cut. */
const MOST = { chars: 4096, pieces: 256 };
type Taken = {
  whole: { count: number; digest: string } | null;
  /** All pieces, also those that an earlier stream had brought. */
  pieces: string[];
  /** How many were there before this stream. */
  begun: number;
  spoilt: boolean;
  /** The try was recorded. */
  opened: boolean;
  sink: CallerSink;
};
type Outcome = {
  to: 'ran' | 'unrun' | 'unsure' | 'cut';
  text?: string;
  count?: number;
  digest?: string;
  why?: string;
  held?: string[];
};

/** Takes in one generation's answer, and says what became of it. */
export const Takes = {
  /** Whether so much can be kept, to go on from. */
  keeps: (pieces: number, chars: number): boolean => pieces <= MOST.pieces && chars <= MOST.chars,
  make(begun: readonly string[] = []): Taken {
    const t: Taken = {
      ...{ whole: null, pieces: [...begun], begun: begun.length, spoilt: false, opened: false },
      sink: {
        piece: (_n, text) => {
          t.pieces.push(text);
        },
        end(count, digest) {
          t.whole = { count, digest };
        },
        opened() {
          t.opened = true;
        },
        spoilt() {
          t.spoilt = true;
        },
        cut: () => undefined,
        refuse: () => undefined,
        gone: () => false,
      },
    };
    return t;
  },
  /**
   * Only a whole answer is 'ran', and only a verdict of no is 'unrun'; of one too long, count and digest are kept. One
   * that may be resumed is 'cut' where its stream broke off after at least one more piece, all of them in order.
   */
  outcome(v: Verdict, t: Taken, resumes = false): Outcome {
    const why = `${v.code}: ${v.why}`.slice(0, 200),
      text = t.pieces.join('');
    if (t.whole)
      return text.length > MOST.chars
        ? { to: 'ran', ...t.whole, why: 'too long to be kept' }
        : { to: 'ran', ...t.whole, text };
    if (v.ran === 'no') return { to: 'unrun' };
    const more = t.pieces.length > t.begun && !t.spoilt && v.code === 'cut';
    if (resumes && more && Takes.keeps(t.pieces.length, text.length)) return { to: 'cut', held: t.pieces };
    return { to: 'unsure', why };
  },
};
