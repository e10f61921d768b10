import type { PostBox } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import type { Ledger } from './ledger.js';
import type { RequestDiary } from './requestdiary.js';

const strict = { additionalProperties: false } as const;

/** Serves what this daemon knows of a request: the steps it took, and its entry as a ledger owner. */
export const RequestDesk = {
  forms: {
    request: Type.Object({ key: Type.String() }, strict),
    told: Type.Object(
      {
        steps: Type.Array(
          Type.Object(
            {
              what: Type.String(),
              wall: Type.Number(),
              attempt: Type.Integer(),
              more: Type.Record(Type.String(), Type.Unknown()),
            },
            strict,
          ),
        ),
        entry: Type.Union([
          Type.Null(),
          Type.Object({ attempt: Type.Integer(), state: Type.String(), by: Type.String() }, strict),
        ]),
      },
      strict,
    ),
  },
  make(post: PostBox, requestLog: ReturnType<typeof RequestDiary.make>, ledger: ReturnType<typeof Ledger.make>): void {
    post.on('visit.tell', RequestDesk.forms.request, (message) => {
      const entry = ledger.get(message.key);
      return {
        steps: requestLog.of(message.key),
        entry: entry ? { attempt: entry.attempt, state: entry.state, by: entry.by } : null,
      };
    });
  },
};
