import type { PostBox } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import type { RequestLog } from './requestlog.js';
import { RequestStep } from './requeststep.js';

const shut = { additionalProperties: false } as const;

/** Where a router tells what it did with one request. */
export const RequestDesk = {
  forms: {
    request: Type.Object({ id: Type.String() }, shut),
    told: Type.Object({ steps: Type.Array(RequestStep) }, shut),
  },
  make(post: PostBox, log: ReturnType<typeof RequestLog.make>): void {
    post.on('request.tell', RequestDesk.forms.request, (body) => ({ steps: log.stepsOf(body.id) }));
  },
};
