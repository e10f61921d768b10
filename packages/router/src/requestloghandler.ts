import type { Messenger } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import type { RequestLog } from './requestlog.js';
import { RequestStep } from './requeststep.js';

const strict = { additionalProperties: false } as const;

/** Answers operators' queries for the steps that this router took for one request. */
export const RequestLogHandler = {
  schemas: {
    request: Type.Object({ id: Type.String() }, strict),
    response: Type.Object({ steps: Type.Array(RequestStep) }, strict),
  },
  make(post: Messenger, requestLog: ReturnType<typeof RequestLog.make>): void {
    post.on('request.tell', RequestLogHandler.schemas.request, (body) => ({ steps: requestLog.stepsOf(body.id) }));
  },
};
