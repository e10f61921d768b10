import type { ClientRequest } from '@pumicebarrow/router';
import type { Motor } from '@pumicebarrow/sim';
import type { ServerWork } from './serverwork.js';

const STRIDE = 4;
const OUT = 8;
const CREDENTIALS = 'authorization';
let runs = 0;

/** What a server is asked to do, read from a request as it came. */
export const WorkOf = {
  make(
    motor: Motor,
    request: ClientRequest,
    router: string,
    step: ServerWork['step'],
    terms: { ms: number; urgency: number },
    after: string | null,
  ): ServerWork {
    const p = request.prompt,
      made = Number(after ?? 0) * STRIDE;
    return {
      from: {
        id: request.id,
        router,
        tenant: request.tenant,
        withKey: request.headers.some(([k]) => k === CREDENTIALS),
      },
      ...{ step, run: `r${++runs}`, key: new TextDecoder().decode(request.body) },
      ...{ prompt: p, size: (p?.tokens ?? 20) + made, out: p?.most ?? OUT, made, left: 0, moved: false, begun: false },
      ...{ urgency: terms.urgency, order: runs, until: motor.now() + terms.ms },
      event: () => undefined,
      done: () => undefined,
    };
  },
};
