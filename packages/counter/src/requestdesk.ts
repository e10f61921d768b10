import type { PostBox } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import type { Ledger } from './ledger.js';
import type { RequestDiary } from './requestdiary.js';

const shut = { additionalProperties: false } as const;

/** Where a daemon tells what it knows of a request: what it did, and what it recorded as a ledger owner. */
export const RequestDesk = {
  forms: {
    ask: Type.Object({ key: Type.String() }, shut),
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
            shut,
          ),
        ),
        entry: Type.Union([
          Type.Null(),
          Type.Object({ attempt: Type.Integer(), state: Type.String(), by: Type.String() }, shut),
        ]),
      },
      shut,
    ),
  },
  make(post: PostBox, diary: ReturnType<typeof RequestDiary.make>, ledger: ReturnType<typeof Ledger.make>): void {
    post.on('visit.tell', RequestDesk.forms.ask, (b) => {
      const e = ledger.get(b.key);
      return { steps: diary.of(b.key), entry: e ? { attempt: e.attempt, state: e.state, by: e.by } : null };
    });
  },
};
