import { Random, type RandomSource } from '@pumicebarrow/forms';
import { SampleCall } from '@pumicebarrow/platform';
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { SoakKeys } from './soakkeys.js';
import type { SoakReport } from './soakreport.js';

const WAIT = 4500;
const PATIENCE = 40_000;
const BETWEEN = 150;

/**
 * One operator that changes the configuration again and again, and reads it at any replica meanwhile. Each change is
 * sent unchanged until it is acknowledged; a read never shows one that is older than the last acknowledged before it
 * began.
 */
export const SoakOperator = {
  start(
    replicas: readonly { front: string }[],
    plant: { service: string; slots: number },
    c: RandomSource,
    report: SoakReport,
  ) {
    let open = true;
    let acked = 0;
    const at = (path: string): string => `http://${Random.pick(c, [...replicas])!.front}${path}`;
    const limits = { headersTimeout: WAIT, bodyTimeout: WAIT };
    /** The status of one call at any control replica, and its text; 0 where there was no answer. */
    const call = async (path: string, body?: string): Promise<{ status: number; text: string }> => {
      try {
        const headers = { [SampleCall.base]: String(acked) };
        const more = body === undefined ? {} : ({ method: 'POST', headers, body } as const);
        const answer = await request(at(path), { ...limits, ...more, signal: AbortSignal.timeout(WAIT) });
        return { status: answer.statusCode, text: await answer.body.text() };
      } catch {
        return { status: 0, text: '' };
      }
    };
    const change = async (): Promise<boolean> => {
      const revision = acked + 1;
      const body = SampleCall.configuration(revision, plant.service, plant.slots, SoakKeys.tenants(revision));
      for (const end = Date.now() + PATIENCE; Date.now() < end; await pause(BETWEEN)) {
        const { status, text } = await call(SampleCall.replace, body);
        if (status >= 400 && status < 500) report.faults.push(`change ${revision} was refused: ${status} ${text}`);
        if (status !== 200) continue;
        acked = revision;
        return true;
      }
      report.faults.push(`change ${revision} was not acknowledged in ${PATIENCE} ms`);
      return false;
    };
    /** The revision that a control replica shows; null where it shows none. */
    const read = async (): Promise<number | null> => {
      const least = acked;
      const { status, text } = await call(SampleCall.read);
      if (status !== 200) return null;
      const { revision } = JSON.parse(text) as { revision: number };
      if (revision < least) report.faults.push(`a read showed ${revision} after ${least} was acknowledged`);
      return revision;
    };
    const loop = async (step: () => Promise<unknown>, rest: number): Promise<void> => {
      while (open) {
        await step();
        await pause(rest * c.real());
      }
    };
    const all = Promise.all([loop(change, 2 * BETWEEN), loop(read, BETWEEN)]);
    return {
      change,
      read,
      acked: (): number => acked,
      async stop(): Promise<void> {
        open = false;
        await all;
      },
    };
  },
};
