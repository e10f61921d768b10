import type { Verdict } from '@pumicebarrow/forms';
import type { ResponseWriter } from './responsewriter.js';

/** The longest answer text that the control replicas store. */
const MAX_KEPT_TEXT_CHARS = 4096;
type CollectedAnswer = {
  completion: { count: number; digest: string } | null;
  text: () => string;
  writer: ResponseWriter;
};
type Outcome = { to: 'ran' | 'unrun' | 'unsure'; text?: string; count?: number; digest?: string; why?: string };

/** Collects the answer of one burst request and derives the outcome to record. */
export const AnswerCollector = {
  make(): CollectedAnswer {
    const pieces: string[] = [];
    const answer: CollectedAnswer = {
      completion: null,
      text: () => pieces.join(''),
      writer: {
        writePiece: (_n, text) => {
          pieces.push(text);
        },
        end(count, digest) {
          answer.completion = { count, digest };
        },
        abort: () => undefined,
        refuse: () => undefined,
        isClientGone: () => false,
      },
    };
    return answer;
  },
  /**
   * Only a complete answer gives 'ran', and only a verdict that it did not run gives 'unrun'. Of an answer that is too
   * long, only piece count and digest are kept.
   */
  outcome(verdict: Verdict, answer: CollectedAnswer): Outcome {
    const reason = `${verdict.code}: ${verdict.why}`.slice(0, 200);
    if (answer.completion) {
      const text = answer.text();
      return text.length > MAX_KEPT_TEXT_CHARS
        ? { to: 'ran', ...answer.completion, why: 'too long to be kept' }
        : { to: 'ran', ...answer.completion, text };
    }
    return verdict.ran === 'no' ? { to: 'unrun' } : { to: 'unsure', why: reason };
  },
};
