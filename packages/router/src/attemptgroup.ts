import type { DecodeAttempt } from './decodeattempt.js';
import type { Job } from './job.js';
import type { Server } from './server.js';

/**
 * The runs of one request that are under way, of which one provides the response. Invariants: a run is ended only once
 * another has an event for the client; from then on it contributes nothing; the response has the head of the first run
 * that provided any of it.
 */
export const AttemptGroup = {
  make(job: Job) {
    const running = new Set<DecodeAttempt>();
    const othersOf = (attempt: DecodeAttempt): DecodeAttempt[] =>
      [...running].filter((other) => other !== attempt && !other.replaced);
    const startResponse = (status: number, headers: readonly (readonly [string, string])[]): void => {
      job.responseStarted = true;
      job.status = status;
      job.writer.writeHead(status, headers);
    };
    return {
      add: (attempt: DecodeAttempt): void => void running.add(attempt),
      remove: (attempt: DecodeAttempt): void => void running.delete(attempt),
      servers: (): Server[] => [...running].map((attempt) => attempt.reserved.server),
      isNewest: (attempt: DecodeAttempt): boolean => [...running].at(-1) === attempt,
      /** Whether no other run can provide the response. */
      isLast: (attempt: DecodeAttempt): boolean => othersOf(attempt).length === 0,
      /** Takes the head of a run's response; returns false if it does not fit what the client has already. */
      acceptHead(attempt: DecodeAttempt, status: number, headers: readonly (readonly [string, string])[]): boolean {
        if (job.responseStarted) return status === job.status;
        if (othersOf(attempt).length > 0) attempt.heldHead = { status, headers };
        else startResponse(status, headers);
        return true;
      },
      /** Lets this run provide the rest of the response, and ends the others. */
      continueWith(attempt: DecodeAttempt): void {
        for (const other of othersOf(attempt)) {
          other.replaced = true;
          other.controller.abort('late');
        }
        if (!attempt.heldHead) return;
        startResponse(attempt.heldHead.status, attempt.heldHead.headers);
        attempt.heldHead = null;
      },
    };
  },
};
