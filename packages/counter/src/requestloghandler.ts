import type { Messenger } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import type { Ledger } from './ledger.js';
import type { RequestLog } from './requestlog.js';

const strict = { additionalProperties: false } as const;

/** Serves what this daemon knows of a request: the steps it took, and its entry as a ledger owner. */
export const RequestLogHandler = {
  schemas: {
    request: Type.Object({ key: Type.String() }, strict),
    reply: Type.Object(
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
  make(post: Messenger, requestLog: ReturnType<typeof RequestLog.make>, ledger: ReturnType<typeof Ledger.make>): void {
    post.on('visit.tell', RequestLogHandler.schemas.request, (message) => {
      const entry = ledger.get(message.key);
      return {
        steps: requestLog.stepsOf(message.key),
        entry: entry ? { attempt: entry.attempt, state: entry.state, by: entry.by } : null,
      };
    });
  },
};
