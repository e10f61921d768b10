import type { PostBox } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import type { RequestLog } from './requestlog.js';
import { RequestStep } from './requeststep.js';

const strict = { additionalProperties: false } as const;

/** Answers operators' queries for the steps that this router took for one request. */
export const RequestDesk = {
  forms: {
    request: Type.Object({ id: Type.String() }, strict),
    told: Type.Object({ steps: Type.Array(RequestStep) }, strict),
  },
  make(post: PostBox, requestLog: ReturnType<typeof RequestLog.make>): void {
    post.on('request.tell', RequestDesk.forms.request, (body) => ({ steps: requestLog.stepsOf(body.id) }));
  },
};
