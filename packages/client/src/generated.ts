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
         * seconds to wait before a retry
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
   * seconds to wait before a retry
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
       * share of a server that one request takes, relative to the other rules
       */
      weight: number;
      /**
       * requests of urgency 9 leave the queue first
       */
      urgency: number;
      /**
       * maximum requests in flight per daemon
       */
      limit: number;
      /**
       * maximum queued requests per daemon
       */
      waitlist: number;
      /**
       * maximum ms from arrival to the first piece of the answer
       */
      deadline: number;
      /**
       * maximum length of an answer, in pieces
       */
      pieces: number;
      /**
       * maximum size of prefix and part together
       */
      bytes: number;
      /**
       * zones where it is served; all zones if omitted
       */
      sites?: string[];
    },
    ...{
      name: string;
      /**
       * share of a server that one request takes, relative to the other rules
       */
      weight: number;
      /**
       * requests of urgency 9 leave the queue first
       */
      urgency: number;
      /**
       * maximum requests in flight per daemon
       */
      limit: number;
      /**
       * maximum queued requests per daemon
       */
      waitlist: number;
      /**
       * maximum ms from arrival to the first piece of the answer
       */
      deadline: number;
      /**
       * maximum length of an answer, in pieces
       */
      pieces: number;
      /**
       * maximum size of prefix and part together
       */
      bytes: number;
      /**
       * zones where it is served; all zones if omitted
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
     * number of servers assigned to prefill initially
     */
    prefill: number;
    floor: {
      prefill: number;
      decode: number;
    };
    /**
     * whether the assignment follows the mix of prefill and decode work
     */
    swing: boolean;
    /**
     * minimum ms between two changes of the assignment
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
       * maximum share of a stage's slots that is lent
       */
      prefill: number;
      /**
       * maximum share of a stage's slots that is lent
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
     * ms after which a loan expires unless it was renewed
     */
    length: number;
  };
}
