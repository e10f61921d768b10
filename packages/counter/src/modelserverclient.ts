import type { Result } from '@pumicebarrow/forms';
import type { ModelServerFault } from './modelserverfault.js';
import type { ExecutionBound } from './executionbound.js';
import type { ModelServerState } from './modelserverstate.js';
import type { KvCacheHandle } from './kvcachehandle.js';
import type { StageOrder } from './stageorder.js';
import type { DecodeStreamLine } from './decodestreamline.js';
import type { RequestAttempt } from './requestattempt.js';

/**
 * Client of the model servers. `decode` passes each line of the stream to `onLine` as it arrives (false ends the
 * stream) and resolves to null at the end of the stream, or to a fault.
 */
export type ModelServerClient = {
  prefill(
    addr: string,
    job: RequestAttempt & ExecutionBound & { prefix: string; part: string; weight: number },
    timeoutMs: number,
  ): Promise<Result<KvCacheHandle, ModelServerFault>>;
  decode(
    addr: string,
    job: RequestAttempt & ExecutionBound & { handle: KvCacheHandle; pieces: number; weight: number },
    timeoutMs: number,
    onLine: (line: DecodeStreamLine) => boolean,
  ): Promise<Result<null, ModelServerFault>>;
  setStage(addr: string, order: StageOrder, timeoutMs: number): Promise<Result<ModelServerState, ModelServerFault>>;
  fetchState(addr: string, timeoutMs: number): Promise<Result<ModelServerState, ModelServerFault>>;
};
