// Made by tools/client.mjs from the schemas of forms and counter. Not to be edited.

export interface Request {
  key: string;
  attempt: number;
  rule?: string;
  prefix: string;
  part: string;
  /**
   * the two daemons' lives that alone may record it, the same for every call of a key
   *
   * @minItems 2
   */
  owners?: [string, string, ...string[]];
}

export type AnswerLine =
  | {
      n: number;
      text: string;
    }
  | {
      end: true;
      count: number;
      digest: string;
    }
  | {
      cut: true;
      verdict: {
        ran: "no" | "maybe" | "yes";
        code: string;
        why: string;
        /**
         * seconds until it is worth asking again
         */
        after?: number;
        faults?: {
          path: string;
          why: string;
        }[];
      };
    };

export interface Verdict {
  ran: "no" | "maybe" | "yes";
  code: string;
  why: string;
  /**
   * seconds until it is worth asking again
   */
  after?: number;
  faults?: {
    path: string;
    why: string;
  }[];
}

export interface Charter {
  /**
   * @minItems 1
   */
  sites: [string, ...string[]];
  /**
   * @minItems 1
   */
  rules: [
    {
      name: string;
      /**
       * how much of a server one request takes, against the others
       */
      weight: number;
      /**
       * 9 is taken from the queue first
       */
      urgency: number;
      /**
       * requests under way at once, per daemon
       */
      limit: number;
      /**
       * requests that may wait, per daemon
       */
      waitlist: number;
      /**
       * ms from arrival to the first piece at the latest
       */
      deadline: number;
      /**
       * the longest answer, in pieces
       */
      pieces: number;
      /**
       * the largest prefix and part together
       */
      bytes: number;
      /**
       * where it is served; everywhere if left out
       */
      sites?: string[];
    },
    ...{
      name: string;
      /**
       * how much of a server one request takes, against the others
       */
      weight: number;
      /**
       * 9 is taken from the queue first
       */
      urgency: number;
      /**
       * requests under way at once, per daemon
       */
      limit: number;
      /**
       * requests that may wait, per daemon
       */
      waitlist: number;
      /**
       * ms from arrival to the first piece at the latest
       */
      deadline: number;
      /**
       * the longest answer, in pieces
       */
      pieces: number;
      /**
       * the largest prefix and part together
       */
      bytes: number;
      /**
       * where it is served; everywhere if left out
       */
      sites?: string[];
    }[]
  ];
  /**
   * the rule for requests that name none
   */
  fallback?: string;
  /**
   * @minItems 1
   */
  servers: [
    {
      id: string;
      site: string;
      part: "prefill" | "decode" | "either";
      slots: number;
    },
    ...{
      id: string;
      site: string;
      part: "prefill" | "decode" | "either";
      slots: number;
    }[]
  ];
  casting: {
    /**
     * servers that read at the start
     */
    prefill: number;
    floor: {
      prefill: number;
      decode: number;
    };
    /**
     * whether parts follow the mix
     */
    swing: boolean;
    /**
     * ms between two swings at the least
     */
    calm: number;
  };
  lending?: {
    /**
     * the rules whose bursts may borrow
     *
     * @minItems 1
     */
    rules: [string, ...string[]];
    most: {
      /**
       * share of a part's slots that is lent at the most
       */
      prefill: number;
      /**
       * share of a part's slots that is lent at the most
       */
      decode: number;
    };
    keep: {
      /**
       * slots that are never lent
       */
      prefill: number;
      /**
       * slots that are never lent
       */
      decode: number;
    };
    /**
     * ms after which a loan must have been asked for again
     */
    length: number;
  };
}
