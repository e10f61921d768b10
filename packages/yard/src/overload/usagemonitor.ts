import { ProcessUsage } from './processusage.js';

const INTERVAL_MS = 50;
/** A process is at rest once its descriptors have not changed over so many looks; the wait ends after a time. */
const LOOKS_AT_REST = 6;
const REST_LIMIT_MS = 5000;

/** Watches what one process takes of the machine until it is stopped, and remembers the peaks. */
export const UsageMonitor = {
  start(pid: number, ip: string) {
    const peak = { memoryBytes: 0, descriptors: 0 };
    const sample = (): void => {
      try {
        const memory = ProcessUsage.residentBytes(pid) + ProcessUsage.kernelBytes(ip);
        peak.memoryBytes = Math.max(peak.memoryBytes, memory, ProcessUsage.peakResidentBytes(pid));
        peak.descriptors = Math.max(peak.descriptors, ProcessUsage.descriptors(pid));
      } catch {
        // The process has ended; that is judged elsewhere.
      }
    };
    const descriptors = (): number => {
      try {
        return ProcessUsage.descriptors(pid);
      } catch {
        return 0;
      }
    };
    const timer = setInterval(sample, INTERVAL_MS);
    return {
      /** Waits until the process has accepted, and closed, what it is going to. */
      async atRest(): Promise<void> {
        const end = Date.now() + REST_LIMIT_MS;
        for (let same = 0, last = -1; same < LOOKS_AT_REST && Date.now() < end;) {
          await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
          sample();
          const now = descriptors();
          same = now === last ? same + 1 : 0;
          last = now;
        }
      },
      /** Ends the watch. Memory is resident memory and what the kernel holds for its sockets, at the same moment. */
      stop(): Readonly<typeof peak> {
        clearInterval(timer);
        sample();
        return peak;
      },
    };
  },
};
