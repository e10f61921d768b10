import { Check, Err, Ok } from '@pumicebarrow/forms';
import { Agent, request as call } from 'undici';
import { BodyReader } from './bodyreader.js';
import type { Town } from './town.js';
import { TownList } from './townlist.js';

const MOST = 1024 * 1024;

/** The platform's list over HTTP. */
export const HttpTown = {
  make(addr: string): Town & { close(): Promise<void> } {
    const agent = new Agent({ connect: { timeout: 300 }, connections: 2 });
    return {
      async poll() {
        try {
          const r = await call(`http://${addr}/list`, {
            dispatcher: agent,
            headersTimeout: 600,
            bodyTimeout: 600,
            signal: AbortSignal.timeout(900),
          });
          const got = await BodyReader.json(r.body, MOST);
          const seen = r.statusCode === 200 && got.ok ? Check.parse(TownList, got.val) : null;
          return seen?.ok ? Ok(seen.val) : Err('the list does not fit');
        } catch (e) {
          return Err(e instanceof Error ? e.message : String(e));
        }
      },
      close: () => agent.destroy(),
    };
  },
};
