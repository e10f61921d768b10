import type { DecodeAttempt } from './decodeattempt.js';
import type { Job } from './job.js';
import type { ResponseHead } from './responsehead.js';
import type { Server } from './server.js';

/**
 * The runs of one request that are under way, of which one provides the response. Invariants: a run is ended only once
 * another has a part of the response for the client; from then on it contributes nothing; the response has the head of
 * the first run that provided any of it, and is continued by another run only if both are streams of events.
 */
export const AttemptGroup = {
  make(job: Job) {
    const running = new Set<DecodeAttempt>();
    const othersOf = (attempt: DecodeAttempt): DecodeAttempt[] =>
      [...running].filter((other) => other !== attempt && !other.replaced);
    const startResponse = (head: ResponseHead): void => {
      job.responseHead = head;
      job.writer.writeHead(head.status, head.headers);
    };
    /** Whether a response with this head may continue the one that the client has in part. */
    const continues = (started: ResponseHead, head: ResponseHead): boolean =>
      started.isEventStream && head.isEventStream && started.status === head.status;
    return {
      add: (attempt: DecodeAttempt): void => void running.add(attempt),
      remove: (attempt: DecodeAttempt): void => void running.delete(attempt),
      servers: (): Server[] => [...running].map((attempt) => attempt.reserved.server),
      isNewest: (attempt: DecodeAttempt): boolean => [...running].at(-1) === attempt,
      /** Whether no other run can provide the response. */
      isLast: (attempt: DecodeAttempt): boolean => othersOf(attempt).length === 0,
      /** Takes the head of a run's response; returns false if it does not fit what the client has already. */
      acceptHead(attempt: DecodeAttempt, head: ResponseHead): boolean {
        if (job.responseHead) return continues(job.responseHead, head);
        if (othersOf(attempt).length > 0) attempt.heldHead = head;
        else startResponse(head);
        return true;
      },
      /** Lets this run provide the rest of the response, and ends the others. */
      continueWith(attempt: DecodeAttempt): void {
        for (const other of othersOf(attempt)) {
          other.replaced = true;
          other.controller.abort('late');
        }
        if (!attempt.heldHead) return;
        startResponse(attempt.heldHead);
        attempt.heldHead = null;
      },
    };
  },
};
