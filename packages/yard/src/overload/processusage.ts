import { readFileSync, readdirSync } from 'node:fs';

const BYTES_PER_KB = 1024;
/** Columns of a line of the kernel's table of TCP sockets: the local address, and the bytes in the two queues. */
const LOCAL_ADDRESS = 1;
const QUEUES = 4;

const statusField = (pid: number, field: string): number => {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  const found = new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(text);
  // A process that has ended, and has not been waited for yet, has none.
  if (!found) throw new Error(`Process ${pid} tells no ${field}.`);
  return Number(found[1]) * BYTES_PER_KB;
};
/** An IPv4 address as the kernel writes it: in hex, the last byte first. */
const kernelAddress = (ip: string): string =>
  ip
    .split('.')
    .map((part) => Number(part).toString(16).padStart(2, '0').toUpperCase())
    .reverse()
    .join('');

/** What a process of this machine (Linux) takes of it. */
export const ProcessUsage = {
  residentBytes: (pid: number): number => statusField(pid, 'VmRSS'),
  /** The most that was ever resident. */
  peakResidentBytes: (pid: number): number => statusField(pid, 'VmHWM'),
  descriptors: (pid: number): number => readdirSync(`/proc/${pid}/fd`).length,
  /** Bytes in the kernel, received and not read or written and not acknowledged, of all sockets at an IP number. */
  kernelBytes(ip: string): number {
    const address = kernelAddress(ip);
    let sum = 0;
    for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)) {
      const columns = line.trim().split(/\s+/);
      if (!columns[LOCAL_ADDRESS]?.startsWith(`${address}:`)) continue;
      for (const queue of (columns[QUEUES] ?? '').split(':')) sum += parseInt(queue, 16);
    }
    return sum;
  },
};
