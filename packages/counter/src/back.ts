import type { Result } from '@pumicebarrow/forms';
import type { BackFault } from './backfault.js';
import type { Bound } from './bound.js';
import type { BackState } from './backstate.js';
import type { Handle } from './handle.js';
import type { OrderSlip } from './orderslip.js';
import type { Piece } from './piece.js';
import type { RequestJob } from './requestjob.js';

/**
 * Client of the model servers. `decode` passes each line of the stream to `onLine` as it arrives (false ends the
 * stream) and resolves to null at the end of the stream, or to a fault.
 */
export type Back = {
  prefill(
    addr: string,
    job: RequestJob & Bound & { prefix: string; part: string; weight: number },
    timeoutMs: number,
  ): Promise<Result<Handle, BackFault>>;
  decode(
    addr: string,
    job: RequestJob & Bound & { handle: Handle; pieces: number; weight: number },
    timeoutMs: number,
    onLine: (line: Piece) => boolean,
  ): Promise<Result<null, BackFault>>;
  order(addr: string, order: OrderSlip, timeoutMs: number): Promise<Result<BackState, BackFault>>;
  state(addr: string, timeoutMs: number): Promise<Result<BackState, BackFault>>;
};
