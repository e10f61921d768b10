import { SchemaCheck, Err, Ok } from '@pumicebarrow/forms';
import { Agent, request as call } from 'undici';
import { BodyReader } from './bodyreader.js';
import type { InventorySource } from './inventorysource.js';
import { InventoryList } from './inventorylist.js';

const MAX_LIST_BYTES = 1024 * 1024;

/** Fetches the platform's list of servers over HTTP. */
export const HttpInventorySource = {
  make(addr: string): InventorySource & { close(): Promise<void> } {
    const agent = new Agent({ connect: { timeout: 300 }, connections: 2 });
    return {
      async poll() {
        try {
          const response = await call(`http://${addr}/list`, {
            dispatcher: agent,
            headersTimeout: 600,
            bodyTimeout: 600,
            signal: AbortSignal.timeout(900),
          });
          const body = await BodyReader.json(response.body, MAX_LIST_BYTES);
          const parsed = response.statusCode === 200 && body.ok ? SchemaCheck.parse(InventoryList, body.val) : null;
          return parsed?.ok ? Ok(parsed.val) : Err("the platform's reply is not a valid list of servers");
        } catch (e) {
          return Err(e instanceof Error ? e.message : String(e));
        }
      },
      close: () => agent.destroy(),
    };
  },
};
