/**
 * Deliberate breakages for `npm run prove`. Each breaks one rule of the built code, in memory only, and names the test
 * that must fail then. `find` must occur exactly once in the file.
 */
export const breakages = [
  {
    name: 'late-watch-not-repeated',
    point: 4,
    rule: 'a watch of the upstreams that is late is repeated on a new connection',
    file: 'platform/dist/src/listtimes.js',
    find: 'return failures === 0 ? delays : delays.slice(0, 1);',
    replace: 'return [];',
    test: 'platform/dist/test/departureschedules.test.js',
    title: 'no request is sent to an upstream that departed*'
  },
  {
    name: 'odd-object-costs-list',
    point: 4,
    rule: 'an object whose decoding fails in any way costs only itself',
    file: 'platform/dist/src/decode.js',
    find: `report(String(error).slice(0, maxMessageLength));
            return [];`,
    replace: 'throw error;',
    test: 'platform/dist/test/oddobjects.test.js',
    title: 'an object whose decoding fails*'
  },
  {
    name: 'long-name-in-heartbeat',
    point: 4,
    rule: 'a name too long for a heartbeat is left out',
    file: 'platform/dist/src/evacuations.js',
    find: 'return decode(Name, name,',
    replace: 'return name ?? decode(Name, name,',
    test: 'platform/dist/test/oddobjects.test.js',
    title: 'an evacuation, a worker or a gateway with a name too long*'
  },
  {
    name: 'name-beyond-header',
    point: 4,
    rule: 'a worker whose name no header can carry is left out',
    file: 'platform/dist/src/upstreams.js',
    find: 'decode(WorkerName, name,',
    replace: 'decode(z.string(), name,',
    test: 'platform/dist/test/oddobjects.test.js',
    title: 'a worker whose name no header can carry*'
  },
  {
    name: 'epoch-without-bound',
    point: 4,
    rule: 'an epoch that leaves no higher ones is left out',
    file: 'packages/roster/dist/src/upstream.js',
    find: 'export const maxEpoch = 2 ** 48;',
    replace: 'export const maxEpoch = Number.MAX_SAFE_INTEGER;',
    test: 'platform/dist/test/oddobjects.test.js',
    title: 'an engine in a replica whose epoch*'
  },
  {
    name: 'target-without-bound',
    point: 4,
    rule: 'a target in a placement that no domain can hold is left out',
    file: 'platform/dist/src/placements.js',
    find: 'z.int().min(0).max(10_000)',
    replace: 'z.int().min(0).max(20_000)',
    test: 'platform/dist/test/oddobjects.test.js',
    title: 'a target in a placement*'
  },
  {
    name: 'member-address-believed',
    point: 4,
    rule: 'the address of a member in a placement is checked',
    file: 'platform/dist/src/placements.js',
    find: 'decode(Address, each, what)',
    replace: 'each',
    test: 'platform/dist/test/oddobjects.test.js',
    title: 'a member of a placement whose address is none*'
  },
  {
    name: 'odd-object-reported-again',
    point: 4,
    rule: 'an odd entry is reported once',
    file: 'packages/gateway/dist/src/invalidobjects.js',
    find: `if (!isNew)
            return;`,
    replace: '',
    test: 'platform/dist/test/oddobjects.test.js',
    title: 'an odd entry is reported once*'
  },
  {
    name: 'time-beyond-timers',
    point: 4,
    rule: 'a time that no timer can wait for counts as the longest one',
    file: 'packages/traffic/dist/src/shape.js',
    find: '.transform(time => Math.min(time, maxTimerDelay))',
    replace: '',
    test: 'platform/dist/test/oddobjects.test.js',
    title: 'a time in the configuration*'
  },
  {
    name: 'odd-change-costs-answer',
    point: 4,
    rule: 'one odd upstream or block in an answer of another gateway costs only itself',
    file: 'packages/gateway/dist/src/messages.js',
    find: 'if (left-- === 0)',
    replace: 'if (left-- > 0)',
    test: 'packages/gateway/dist/test/oddmessages.test.js',
    title: 'an upstream of another gateway whose address is none*'
  },
  {
    name: 'heartbeat-interval-believed',
    point: 4,
    rule: 'a heartbeat that announces the next one in centuries is not taken',
    file: 'packages/peers/dist/src/heartbeat.js',
    find: 'const maxInterval = 60_000',
    replace: 'const maxInterval = Infinity',
    test: 'packages/gateway/dist/test/oddmessages.test.js',
    title: 'a heartbeat that announces*'
  },
  {
    name: 'odd-node-costs-list',
    point: 4,
    rule: 'a node that is not valid costs only itself',
    file: 'packages/store/dist/src/http.js',
    find: 'return results.flatMap(({ data }) => data ?? []);',
    replace: 'return first === undefined ? results.flatMap(({ data }) => data ?? []) : [];',
    test: 'packages/store/dist/test/http.test.js',
    title: 'a node that is not valid*'
  },
  {
    name: 'repeat-on-idle-connection',
    point: 4,
    rule: 'a repeat uses a new connection',
    file: 'platform/dist/src/watch.js',
    find: 'fresh: index > 0 || this.#failures > 0',
    replace: 'fresh: false',
    test: 'platform/dist/test/departureschedules.test.js',
    title: 'no request is sent to an upstream that departed*'
  },
  {
    name: 'raw-name-in-path',
    point: 4,
    rule: 'the name of an object is encoded in the path of a call',
    file: 'platform/dist/src/store.js',
    find: 'const segment = encodeURIComponent(name).replace(encodedSegmentChars, decodeURIComponent);',
    replace: 'const segment = name;',
    test: 'platform/dist/test/storenames.test.js',
    title: 'objects of any name*'
  },
  {
    name: 'failure-before-send-returns',
    point: 4,
    rule: 'a receiver hears nothing before the function that sends the call has returned',
    file: 'packages/wire/dist/src/call.js',
    find: 'let returned = false;',
    replace: 'let returned = true;',
    test: 'packages/entry/dist/test/attempting.test.js',
    title: 'an attempt with an address that is none*'
  },
  {
    name: 'tunnel-sent-as-call',
    point: 4,
    rule: 'a call by the method of tunnels fails as not sent',
    file: 'packages/wire/dist/src/call.js',
    find: 'if (call.method === tunnelMethod)',
    replace: 'if (call.method === undefined)',
    test: 'packages/wire/dist/test/oddcalls.test.js',
    title: 'a call that asks for a tunnel*'
  },
  {
    name: 'withdrawn-question-sent',
    point: 4,
    rule: 'a question whose signal is aborted before is not sent',
    file: 'packages/wire/dist/src/ask.js',
    find: 'signal?.aborted === true',
    replace: 'false',
    test: 'packages/wire/dist/test/oddcalls.test.js',
    title: 'a question that was withdrawn*'
  },
  {
    name: 'odd-event-drops-others',
    point: 4,
    rule: 'an event that cannot be decoded is left out, and the others of its answer are delivered',
    file: 'platform/dist/src/watch.js',
    find: "decodeEach(events, each => decode(ObjectChange, each, 'An event of a watch'), report)",
    replace: "events.map(each => decode(ObjectChange, each, 'An event of a watch'))",
    test: 'platform/dist/test/watch.test.js',
    title: 'an event that cannot be decoded*'
  },
  {
    name: 'odd-event-taken-as-known',
    point: 4,
    rule: 'after an event that was left out, the list is read',
    file: 'platform/dist/src/watch.js',
    find: 'if (changes.length < events.length)',
    replace: 'if (changes.length < 0)',
    test: 'platform/dist/test/watch.test.js',
    title: 'an event that cannot be decoded*'
  },
  {
    name: 'unusable-answer-asked-for-again',
    point: 4,
    rule: 'after an answer to a watch that cannot be used, the list is read',
    file: 'platform/dist/src/watch.js',
    find: 'error.isUnusable || ',
    replace: '',
    test: 'platform/dist/test/watch.test.js',
    title: 'after an answer to a watch*'
  },
  {
    name: 'watch-ends-with-its-listener',
    point: 4,
    rule: 'a watch that ended since its listener threw is run again',
    file: 'platform/dist/src/platform.js',
    find: 'this.#tasks.repeat(`watch of ',
    replace: 'this.#tasks.run(`watch of ',
    test: 'platform/dist/test/watch.test.js',
    title: 'a platform follows its lists again*'
  },
  {
    name: 'nameless-item-ends-list',
    point: 4,
    rule: 'a page is followed by the next one although its last item has no name',
    file: 'platform/dist/src/store.js',
    find: 'const name = decodeEach(items, nameOf, () => { }).filter(isEncodable).at(-1);',
    replace: 'const name = nameOf(items.at(-1));',
    test: 'platform/dist/test/watch.test.js',
    title: 'a page whose last items*'
  },
  {
    name: 'old-list-not-asked',
    point: 4,
    rule: 'other gateways are asked when the list is getting old',
    file: 'packages/gateway/dist/src/upstreamrefresh.js',
    find: 'if (upstreamList.age <= maxAge) {',
    replace: 'if (upstreamList.age <= Infinity) {',
    test: 'platform/dist/test/departureschedules.test.js',
    title: 'no request is sent to an upstream that departed*'
  },
  {
    name: 'port-not-waited-for',
    point: 7,
    rule: 'a start waits for a port in use',
    file: 'packages/life/dist/src/portwait.js',
    find: 'const maxWait = 10_000;',
    replace: 'const maxWait = 0;',
    test: 'platform/dist/test/heldports.test.js',
    title: 'a gateway whose port for heartbeats is in use*'
  },
  {
    name: 'uncaught-error-not-drained',
    point: 7,
    rule: 'a process that serves drains after an error',
    file: 'packages/life/dist/src/run.js',
    find: 'errors.first.then(async () => await expired(daemon, errors))',
    replace: 'errors.first.then(() => false)',
    test: 'platform/dist/test/uncaught.test.js',
    title: 'streams in flight are whole when an error*'
  },
  {
    name: 'drain-unbounded',
    point: 7,
    rule: 'a drain after an error is bounded',
    file: 'packages/life/dist/src/run.js',
    find: '}, maxStopTime);',
    replace: '}, 60_000);',
    test: 'packages/life/dist/test/run.test.js',
    title: 'a drain that does not end*'
  },
  {
    name: 'timer-error-uncontained',
    point: 7,
    rule: 'an error in a timer ends that task only',
    file: 'packages/clock/dist/src/system.js',
    find: 'this.#onError(error);',
    replace: 'throw error;',
    test: 'packages/clock/dist/test/clock.test.js',
    title: 'a task that throws is reported and ends alone*'
  },
  {
    name: 'failures-unbounded',
    point: 7,
    rule: 'the lines of failed tasks are bounded',
    file: 'packages/life/dist/src/taskfailures.js',
    find: 'return this.#lines++ < maxLines;',
    replace: 'return true;',
    test: 'packages/life/dist/test/taskfailures.test.js',
    title: 'at most ten lines*'
  },
  {
    name: 'message-error-uncontained',
    point: 7,
    rule: 'an error in the handling of a message ends that message only',
    file: 'packages/gateway/dist/src/peerserver.js',
    find: "options.failures.run('message', () => this.#handle(request, response), () => response.destroy())",
    replace: 'this.#handle(request, response)',
    test: 'packages/gateway/dist/test/failures.test.js',
    title: 'a message of another gateway*'
  },
  {
    name: 'delivery-error-uncontained',
    point: 7,
    rule: 'an error in the handling of a delivery ends that delivery only',
    file: 'packages/gateway/dist/src/listener.js',
    find: "failures.run('delivery', () => deliver(...delivered));",
    replace: 'deliver(...delivered);',
    test: 'packages/gateway/dist/test/failures.test.js',
    title: 'no delivery of the platform throws*'
  },
  {
    name: 'datagram-error-uncontained',
    point: 7,
    rule: 'an error in the handling of a datagram ends that datagram only',
    file: 'packages/peers/dist/src/peers.js',
    find: 'contain(() => this.#receive(message, from))',
    replace: 'this.#receive(message, from)',
    test: 'packages/peers/dist/test/peers.test.js',
    title: 'a datagram whose handling throws*'
  },
  {
    name: 'turn-drops-the-others',
    point: 7,
    rule: 'a task that throws takes no other task of its turn with it',
    file: 'packages/clock/dist/src/turnqueue.js',
    find: 'this.#tasks.unshift(...due);',
    replace: '',
    test: 'packages/clock/dist/test/clock.test.js',
    title: 'a task of a turn queue that throws*'
  },
  {
    name: 'odd-target-believed',
    point: 7,
    rule: 'a target that is none is refused',
    file: 'packages/gateway/dist/src/peerserver.js',
    find: "!URL.canParse(request.url ?? '/', base)",
    replace: 'false',
    test: 'platform/dist/test/oddrequests.test.js',
    title: 'a request whose target is no path*'
  },
  {
    name: 'long-delay-runs-at-once',
    point: 4,
    rule: 'a delay beyond that of the runtime is bounded',
    file: 'packages/clock/dist/src/system.js',
    find: 'delay <= maxDelay ? delay : maxDelay',
    replace: 'delay',
    test: 'packages/clock/dist/test/clock.test.js',
    title: 'a task with a delay of Infinity ms does not run soon'
  },
  {
    name: 'no-hold-after-pause',
    point: 4,
    rule: 'after a pause, requests wait for a recent list',
    file: 'packages/gateway/dist/src/sendgate.js',
    find: 'return pauses.resumedAt + maxHold - clock.now();',
    replace: 'return 0;',
    test: 'platform/dist/test/departureschedules.test.js',
    title: 'no request is sent to an upstream that departed*'
  },
  {
    name: 'unframed-answer-gets-chunks',
    point: 5,
    rule: 'an answer that ends with its connection is forwarded without a length and chunks (MIXED)',
    file: 'packages/wire/dist/src/framing.js',
    find: 'if (endsWithConnection(response.req.method, status, headers))',
    replace: 'if (false)',
    test: 'packages/worker/dist/test/brokenanswers.test.js',
    title: 'an answer of a plain service with neither*'
  },
  {
    name: 'unframed-answer-gets-length',
    point: 5,
    rule: 'a collected answer gets a length only if it had a length or chunks (MIXED)',
    file: 'packages/wire/dist/src/framing.js',
    find: ' || !isFramed(headers))',
    replace: ')',
    test: 'packages/entry/dist/test/brokenanswers.test.js',
    title: 'an answer to a model with neither*'
  },
  {
    name: 'broken-relay-closed-in-order',
    point: 5,
    rule: 'a forwarded answer that breaks off looks broken to every caller (MIXED)',
    file: 'packages/wire/dist/src/relay.js',
    find: 'breakOff(this.#options.response);',
    replace: 'this.#options.response.destroy();',
    test: 'packages/entry/dist/test/brokenanswers.test.js',
    title: '*ends with a reset for a caller with HTTP/1.0'
  },
  {
    name: 'refused-end-unreported',
    point: 5,
    rule: 'an answer whose end may not be forwarded is broken off (LOST)',
    file: 'packages/wire/dist/src/relay.js',
    find: 'return this.fail({ error: notForwarded(), sent: true });',
    replace: 'return this.#flow?.abort(notForwarded());',
    test: 'packages/wire/dist/test/relay.test.js',
    title: 'an answer that may no longer be forwarded*'
  },
  {
    name: 'numbered-stream-keeps-length',
    point: 5,
    rule: 'a stream that becomes longer is forwarded without its length (MIXED)',
    file: 'packages/worker/dist/src/numberedrelay.js',
    find: 'length === undefined ?',
    replace: 'length !== null ?',
    test: 'packages/worker/dist/test/brokenanswers.test.js',
    title: 'a stream that the engine sends with a length*'
  },
  {
    name: 'resumed-stream-keeps-length',
    point: 5,
    rule: 'a stream of several parts has not the length of its first one (MIXED)',
    file: 'packages/entry/dist/src/stream.js',
    find: "'content-length': _length, ...kept } = endToEndHeaders",
    replace: '...kept } = endToEndHeaders',
    test: 'packages/entry/dist/test/brokenanswers.test.js',
    title: 'a stream that begins with a length*'
  },
  {
    name: 'not-modified-with-length-refused',
    point: 5,
    rule: 'a 304 with a length is a whole answer',
    file: 'packages/wire/dist/src/connections.js',
    find: 'this.#status === notModified &&',
    replace: 'false &&',
    test: 'packages/wire/dist/test/connections.test.js',
    title: 'an answer with status 304 and a length*'
  },
  {
    name: 'late-answer-taken-as-recent',
    point: 4,
    rule: 'an answer that lay unread in a pause does not make the list recent',
    file: 'platform/dist/src/watch.js',
    find: 'pauses.resumedAt > begunAt ? -Infinity :',
    replace: '',
    test: 'platform/dist/test/departureschedules.test.js',
    title: 'no request is sent to an upstream that departed*'
  },
  {
    name: 'kind-of-service-taken-for-route',
    point: 4,
    rule: 'an answer on a route that is no stream is collected, whatever its service',
    file: 'packages/gateway/dist/src/callers.js',
    find: "request.route.kind === 'stream' ?",
    replace: "request.route.kind === 'stream' || engine !== undefined ?",
    test: 'platform/dist/test/routekinds.test.js',
    title: 'requests on plain routes get the whole answer*'
  },
  {
    name: 'answer-taken-for-events',
    point: 4,
    rule: 'an answer to a stream that is no series of events is collected',
    file: 'packages/forward/dist/src/streamattempt.js',
    find: 'status === okStatus && isEventStream(headers)',
    replace: 'status === okStatus',
    test: 'packages/forward/dist/test/attempt.test.js',
    title: 'an answer to a stream that is no series of events*'
  },
  {
    name: 'work-taken-for-stall',
    point: 4,
    rule: 'a head that works on an answer that comes as a whole has not stalled',
    file: 'packages/forward/dist/src/attempt.js',
    find: 'if (!this.isSteady)',
    replace: 'if (false)',
    test: 'platform/dist/test/routekinds.test.js',
    title: 'a head that works on a long request*'
  },
  {
    name: 'length-of-missing-body',
    point: 4,
    rule: 'an answer that has no body keeps the length that its upstream gave',
    file: 'packages/wire/dist/src/framing.js',
    find: 'if (!hasBody(method, status) || !isFramed(headers))',
    replace: 'if (!isFramed(headers))',
    test: 'packages/forward/dist/test/bodyless.test.js',
    title: 'an answer that has no body*'
  },
  {
    name: 'plain-stream-counts-for-model',
    point: 4,
    rule: 'a stream at a plain service counts for no model',
    file: 'packages/forward/dist/src/target.js',
    find: "model = '';",
    replace: "model = 'any';",
    test: 'packages/forward/dist/test/plainstreams.test.js',
    title: 'a stream at a plain service counts for no model*'
  },
  {
    name: 'plain-stream-not-observed',
    point: 4,
    rule: 'the ends of streams at a plain service are observed',
    file: 'packages/forward/dist/src/streampath.js',
    find: 'target.observe(upstream, result, clock.now() - startedAt)',
    replace: 'void 0',
    test: 'packages/forward/dist/test/plainstreams.test.js',
    title: 'the ends of streams at a plain service*'
  },
  {
    name: 'wait-ends-in-pause',
    point: 4,
    rule: 'a wait for what is unread, whose end passes in a pause, goes on until that is read',
    file: 'packages/wire/dist/src/quiet.js',
    find: 'extensions < maxExtensions',
    replace: 'false',
    test: 'packages/wire/dist/test/quiet.test.js',
    title: '*past the end of the wait are answered'
  },
  {
    name: 'old-followed-list-pauses-watch',
    point: 4,
    rule: 'a gateway that takes the store for lost still watches it while the list that it follows is old',
    file: 'packages/gateway/dist/src/upstreamfeed.js',
    find: 'this.#isRecent(this.#completeAt) && sources()',
    replace: 'this.#isAcceptable(this.#completeAt) && sources()',
    test: 'packages/gateway/dist/test/upstreamfeed.test.js',
    title: 'a source that gives no age of its list*'
  },
  {
    name: 'superseded-answer-applied',
    point: 4,
    rule: 'an answer of the store that is older than the list does not undo it',
    file: 'packages/gateway/dist/src/upstreamlist.js',
    find: "return at < board.read('upstreamsAt') && revision <",
    replace: 'return false && revision <',
    test: 'packages/gateway/dist/test/upstreamrefresh.test.js',
    title: 'an answer that is newer than the list is applied*'
  },
  {
    name: 'held-attempt-counts',
    point: 4,
    rule: 'an attempt that was held is not sent, and its upstream may be tried again',
    file: 'packages/forward/dist/src/path.js',
    find: 'return !this.wasHeld && this.retries.maySend();',
    replace: 'return this.retries.maySend();',
    test: 'packages/forward/dist/test/heldsends.test.js',
    title: 'an attempt whose connection is ready*'
  },
  {
    name: 'reserve-in-first-window',
    point: 4,
    rule: 'a process uses none of its part of the slack in its first window',
    file: 'packages/dispatch/dist/src/budget.js',
    find: 'this.#isFirstWindow ? 0 :',
    replace: 'false ? 0 :',
    test: 'packages/gateway/dist/test/retrybudget.test.js',
    title: 'gateways that are killed again and again*'
  },
  {
    name: 'parts-by-list-of-now',
    point: 4,
    rule: 'gateways that are no longer listed or heard share the slack for a while',
    file: 'packages/gateway/dist/src/knowngateways.js',
    find: 'filter(([, { at }]) => now - at <= retention)',
    replace: 'filter(([id]) => listed.has(id))',
    test: 'packages/gateway/dist/test/retrybudget.test.js',
    title: 'gateways whose entries lapse while they are cut off and killed*'
  },
  {
    name: 'retry-charged-when-wanted',
    point: 4,
    rule: 'a retry is charged when there is an upstream for it',
    file: 'packages/forward/dist/src/retrycharge.js',
    find: 'this.#isRequired = true;',
    replace: 'this.#isRequired = this.take();',
    test: 'packages/forward/dist/test/heldretries.test.js',
    title: 'retries that wait for room*'
  },
  {
    name: 'retry-sent-late',
    point: 4,
    rule: 'a retry that was not sent soon after its grant is charged again',
    file: 'packages/dispatch/dist/src/budget.js',
    find: 'takenAt <= maxSendDelay',
    replace: 'takenAt <= Infinity',
    test: 'packages/dispatch/dist/test/dispatch.test.js',
    title: 'a retry that was not sent soon*'
  },
  {
    name: 'loan-not-charged',
    point: 4,
    rule: 'a gateway charges the retries that it lends to its own budget',
    file: 'packages/dispatch/dist/src/budget.js',
    find: 'this.#spendOwn(lent);',
    replace: '',
    test: 'packages/gateway/dist/test/retryloans.test.js',
    title: 'a gateway lends until a quarter*'
  },
  {
    name: 'loan-without-end',
    point: 4,
    rule: 'a borrowed retry is used soon after it was asked for, or not at all',
    file: 'packages/dispatch/dist/src/budget.js',
    find: 'until: askedAt + loanLifetime',
    replace: 'until: Infinity',
    test: 'packages/gateway/dist/test/retryloans.test.js',
    title: 'a loan is used within 150 ms*'
  },
  {
    name: 'sent-by-error-code',
    point: 4,
    rule: 'a call whose connection was ready counts as sent, whatever its error says',
    file: 'packages/wire/dist/src/call.js',
    find: 'sent: flow !== undefined }',
    replace: "sent: flow !== undefined && error.code !== 'EHOSTUNREACH' }",
    test: 'packages/wire/dist/test/call.test.js',
    title: 'a call whose established connection fails with EHOSTUNREACH*'
  },
  {
    name: 'open-without-condition',
    point: 2,
    rule: 'an order to open is conditional on the state of its head where an order to join may still reach it',
    file: 'packages/forming/dist/src/reconciler.js',
    find: 'this.#history.mayJoinLate(node, replica) ?',
    replace: 'false ?',
    test: 'packages/emulator/dist/test/lateorders.test.js',
    title: 'a head that has left a replica does not open it*'
  },
  {
    name: 'turn-without-bound',
    point: 3,
    rule: 'callers that are closed or read again are served a bounded number at a time',
    file: 'packages/forward/dist/src/delivery.js',
    find: 'const maxCallersPerTurn = 10',
    replace: 'const maxCallersPerTurn = 10_000',
    test: 'packages/forward/dist/test/delivery.test.js',
    title: 'of a thousand callers that read nothing*'
  },
  {
    name: 'timer-before-input',
    point: 3,
    rule: 'a late timer runs after what arrived before it was read',
    file: 'packages/clock/dist/src/system.js',
    find: 'immediate = setImmediate(() => this.#run(task))',
    replace: 'this.#run(task)',
    test: 'packages/clock/dist/test/clock.test.js',
    title: 'a timer that is late runs after the input*'
  },
  {
    name: 'idle-before-input',
    point: 3,
    rule: 'a kept connection on which a request has arrived is not closed as idle',
    file: 'packages/wire/dist/src/serve.js',
    find: 'setImmediate(',
    replace: '(run => run())(',
    test: 'packages/wire/dist/test/serve.test.js',
    title: 'a request on a kept connection*'
  },
  {
    name: 'ended-connection-reused',
    point: 3,
    rule: 'no call is sent on a connection that has ended, even in the turn in which it ends',
    file: 'packages/wire/dist/src/connections.js',
    find: '!connection.closed && connection.socket?.destroyed === false',
    replace: '!connection.closed',
    test: 'packages/wire/dist/test/connections.test.js',
    title: 'a call in the turn in which an idle connection ends*'
  },
  {
    name: 'change-read-once',
    point: 8,
    rule: 'a read that the store does not answer in time is repeated before a change fails',
    file: 'packages/config/dist/src/writer.js',
    find: "read.error.code === 'store-silent'",
    replace: 'false',
    test: 'packages/config/dist/test/writer.test.js',
    title: 'a change for which the store is silent for a moment*'
  },
  {
    name: 'crash-without-verdict',
    point: 4,
    rule: 'a crash in which a request was the only suspect blocks it',
    file: 'packages/crashes/dist/src/decision.js',
    find: 'request === undefined || others.length > 0',
    replace: 'true',
    test: 'packages/crashes/dist/test/history.test.js',
    title: 'a request that is alone in three crashes*'
  },
  {
    name: 'clearance-forgotten',
    point: 4,
    rule: 'a request that was served clears its parts also of blocks that rest on earlier crashes',
    file: 'packages/crashes/dist/src/history.js',
    find: 'this.#clearances.add(name, at);',
    replace: '',
    test: 'packages/crashes/dist/test/parts.test.js',
    title: 'a served request lifts the block*'
  },
  {
    name: 'running-answers-suspected',
    point: 4,
    rule: 'the parts of a request in the middle of its answer are no suspects of a crash',
    file: 'packages/crashes/dist/src/crash.js',
    find: 'beginning ? [request, ...parts] : [request]',
    replace: '[request, ...parts]',
    test: 'packages/crashes/dist/test/parts.test.js',
    title: 'a request in the middle of its answer*'
  },
  {
    name: 'shared-part-blocked-by-count',
    point: 4,
    rule: 'a part that requests were served with lately is not blocked because several suspected parts came with it',
    file: 'packages/crashes/dist/src/decision.js',
    find: 'records.wasServed(part) ? servedExplanationThreshold : explanationThreshold',
    replace: 'explanationThreshold',
    test: 'packages/crashes/dist/test/partsharm.test.js',
    title: '3 gateways, ten harmful parts*'
  },
  {
    name: 'broken-stream-closed-in-order',
    point: 3,
    rule: 'a stream that is known to be broken does not look whole (MIXED)',
    file: 'packages/wire/dist/src/answer.js',
    find: 'response.useChunkedEncodingByDefault || socket === null',
    replace: 'true',
    test: 'platform/dist/test/unframed.test.js',
    title: 'a caller with HTTP/1.0*'
  },
  {
    name: 'end-of-a-crashed-engine-trusted',
    point: 3,
    rule: 'an answer that ends with its connection is whole only if its upstream still runs',
    file: 'packages/forward/dist/src/attempt.js',
    find: 'if (endsWithConnection(this.request.',
    replace: 'if (false && endsWithConnection(this.request.',
    test: 'platform/dist/test/unframed.test.js',
    title: 'a stream whose engine crashes between two events*'
  },
  {
    name: 'life-late-record',
    point: 1,
    rule: 'a record of an earlier incarnation is not taken after one of a later',
    file: 'packages/roster/dist/src/roster.js',
    find: 'this.#ended.has(record.id) || ',
    replace: '',
    test: 'packages/roster/dist/test/incarnations.test.js',
    title: 'a record of an earlier incarnation*'
  },
  {
    name: 'grant-after-restart',
    point: 1,
    rule: 'a granter that has just started gives no grants until the longest possible grant of its predecessor has expired',
    file: 'packages/lease/dist/src/granter.js',
    find: 'now < this.#openAt',
    replace: 'false',
    test: 'packages/lease/dist/test/granter.test.js',
    title: 'a granter that has started refuses claims*'
  },
  {
    name: 'grant-from-receipt',
    point: 1,
    rule: 'a holder counts a grant from when its request was sent',
    file: 'packages/lease/dist/src/lease.js',
    find: 'this.#holding.withGrant(granter, sent, answer.mark)',
    replace: 'this.#holding.withGrant(granter, clock.bootNow(), answer.mark)',
    test: 'packages/lease/dist/test/exclusion.test.js',
    title: 'a grant whose answer arrives late*'
  },
  {
    name: 'grant-two-holders',
    point: 2,
    rule: 'a granter grants a resource to one holder and term at a time',
    file: 'packages/lease/dist/src/granter.js',
    find: '!free && !same',
    replace: 'false',
    test: 'packages/lease/dist/test/exclusion.test.js',
    title: 'by majority of the granters*'
  },
  {
    name: 'grant-reused-term',
    point: 2,
    rule: 'a release ends only the grant of its own term',
    file: 'packages/lease/dist/src/granter.js',
    find: 'grant.holder !== claim.holder || grant.term !== claim.term',
    replace: 'grant.holder !== claim.holder',
    test: 'packages/lease/dist/test/granter.test.js',
    title: 'a release frees*'
  },
  {
    name: 'grant-less-than-all',
    point: 1,
    rule: 'a head needs the grant of every member',
    file: 'packages/lease/dist/src/holding.js',
    find: "quorum === 'all' ? granters.length",
    replace: "quorum === 'all' ? granters.length - 1",
    test: 'packages/lease/dist/test/exclusion.test.js',
    title: 'a holder whose granter is unreachable*'
  },
  {
    name: 'stand-beside-a-leader',
    point: 2,
    rule: 'no gateway stands for election while another one leads and may plan',
    file: 'packages/gateway/dist/src/election.js',
    find: "|| state === 'able'",
    replace: '',
    test: 'packages/gateway/dist/test/election.test.js',
    title: 'a later candidate waits*'
  },
  {
    name: 'lead-on-beside-a-later-term',
    point: 2,
    rule: 'a leader gives way to a later term',
    file: 'packages/gateway/dist/src/election.js',
    find: 'term > own',
    replace: 'false',
    test: 'packages/gateway/dist/test/election.test.js',
    title: 'a leader steps down for a later term*'
  },
  {
    name: 'targets-for-the-first-few',
    point: 1,
    rule: 'the targets of a domain do not rise while its engines are still appearing',
    file: 'packages/forming/dist/src/targets.js',
    find: '!each.appearing && ',
    replace: '',
    test: 'packages/emulator/dist/test/forming.test.js',
    title: 'a domain that was dark and comes back*'
  },
  {
    name: 'unlisted-head-stays',
    point: 2,
    rule: 'a replica whose head is not listed is formed again under another one',
    file: 'packages/forming/dist/src/lifecycle.js',
    find: 'snapshot.isUnlisted(replica.members[0].id)',
    replace: 'false',
    test: 'packages/emulator/dist/test/unlisted.test.js',
    title: 'a replica whose head loses its entry*'
  },
  {
    name: 'dead-for-ever',
    point: 2,
    rule: 'a head that left its replica without an entry is not dead once it is listed again',
    file: 'packages/detect/dist/src/liveness.js',
    find: 'this.#deadUnlisted.delete(id)',
    replace: 'void id',
    test: 'packages/emulator/dist/test/unlisted.test.js',
    title: 'an engine that is listed again may lead again*'
  }
]

breakages.push(
  {
    name: 'run-without-floor',
    point: 5,
    rule: 'a home refuses keys minted before it took its slot over',
    file: 'packages/run/dist/src/book.js',
    find: 'const floor = mintedFor === this.tenure ? this.#retentionFloor(wall) : this.floor(wall)',
    replace: 'const floor = -Infinity',
    test: 'packages/run/dist/test/once.test.js',
    title: 'a key runs at most once*'
  },
  {
    name: 'run-one-skew',
    point: 5,
    rule: 'the floor is the time of the takeover plus two skews, one of the callers and one of the workers',
    file: 'packages/run/dist/src/book.js',
    find: 'openedAt + 2 * this.#skew',
    replace: 'openedAt + this.#skew',
    test: 'packages/run/dist/test/book.test.js',
    title: 'a key minted exactly two skews after the takeover*'
  },
  {
    name: 'run-fresh-late',
    point: 5,
    rule: 'a key minted by the entry counts as new only in the tenure for which it was minted',
    file: 'packages/run/dist/src/book.js',
    find: 'mintedFor === this.tenure ? this.#retentionFloor',
    replace: 'mintedFor !== undefined ? this.#retentionFloor',
    test: 'packages/run/dist/test/book.test.js',
    title: 'a key minted by the entry for an earlier*'
  },
  {
    name: 'run-without-lease',
    point: 5,
    rule: 'a worker runs keyed requests only while its lease of the slot is valid',
    file: 'packages/run/dist/src/claim.js',
    find: 'this.lease.valid && this.#lapse',
    replace: 'this.#lapse',
    test: 'packages/run/dist/test/home.test.js',
    title: 'a home checks its lease*'
  },
  {
    name: 'run-forgets',
    point: 5,
    rule: 'a dropped key is refused even after the wall clock stepped back',
    file: 'packages/run/dist/src/book.js',
    find: 'this.#forgottenUpTo = Math.max(this.#forgottenUpTo, wall - this.#retention)',
    replace: 'this.#forgottenUpTo = wall - this.#retention',
    test: 'packages/run/dist/test/book.test.js',
    title: 'a full book*'
  },
  {
    name: 'not-run-without-word',
    point: 4,
    rule: 'a request with a caller\'s key is reported as not run only if the home of the key confirms it',
    file: 'packages/entry/dist/src/outcome.js',
    find: "fault.outcome !== 'not-run' || fault.code === 'key-invalid'",
    replace: 'true',
    test: 'packages/trial/dist/test/once.test.js',
    title: 'a home killed in the middle*'
  },
  {
    name: 'not-run-without-tombstone',
    point: 4,
    rule: 'an attempt reported as not started is tombstoned, so that it never starts',
    file: 'packages/run/dist/src/attempts.js',
    find: 'this.#tombstones.set(attempt, now)',
    replace: 'undefined',
    test: 'packages/run/dist/test/book.test.js',
    title: 'an attempt that has not started*'
  }
)

breakages.push(
  {
    name: 'head-without-check',
    point: 1,
    rule: 'the head checks its grants before it forwards each part of an answer',
    file: 'packages/worker/dist/src/head.js',
    find: 'tenure !== undefined && tenure.lease.valid && this.#ready(tenure)',
    replace: 'tenure !== undefined',
    test: 'packages/trial/dist/test/replica.test.js',
    title: 'a head that wakes*'
  },
  {
    name: 'stream-partial-event',
    point: 3,
    rule: 'only complete events are forwarded',
    file: 'packages/entry/dist/src/transcript.js',
    find: 'bytes.subarray(0, end)',
    replace: 'bytes',
    test: 'packages/entry/dist/test/transcript.test.js',
    title: 'a stream cut into any chunks*'
  },
  {
    name: 'change-sent-forgotten',
    point: 4,
    rule: 'a change whose write may have taken effect is never reported as not run',
    file: 'packages/config/dist/src/writer.js',
    find: 'return Err(mayBeApplied ? new Fault(\'store-unknown\') : read.error)',
    replace: 'return Err(read.error)',
    test: 'packages/config/dist/test/writer.test.js',
    title: 'a change for which the answer is lost and the store stays down*'
  },
  {
    name: 'change-lost-answer',
    point: 8,
    rule: 'the writer recognises its own change by the operation id',
    file: 'packages/config/dist/src/writer.js',
    find: 'configuration.audit.some(record => record.operation === request.operation)',
    replace: 'false',
    test: 'packages/config/dist/test/writer.test.js',
    title: 'every accepted change stays*'
  },
  {
    name: 'revision-falls',
    point: 8,
    rule: 'a process accepts newer configurations only',
    file: 'packages/config/dist/src/current.js',
    find: 'configuration.revision <= this.#configuration.revision',
    replace: 'false',
    test: 'packages/config/dist/test/writer.test.js',
    title: 'the revision of a process never decreases*'
  }
)

breakages.push(
  {
    name: 'refuse-without-reading',
    point: 3,
    rule: 'the rest of a refused body is read before the connection is closed',
    file: 'packages/wire/dist/src/answer.js',
    find: 'const timer = clock.after(lingerTime, finish)',
    replace: 'const timer = { cancel () {} }; setImmediate(finish)',
    test: 'packages/wire/dist/test/call.test.js',
    title: 'the refusal of a body*'
  },
  {
    name: 'cancel-then-send',
    point: 4,
    rule: 'a call that was reported as not sent is never sent',
    file: 'packages/wire/dist/src/call.js',
    find: 'if (ended)\n                return controller.abort',
    replace: 'if (false)\n                return controller.abort',
    test: 'packages/wire/dist/test/call.test.js',
    title: 'a call that is cancelled while*'
  },
  {
    name: 'not-run-of-a-known-key',
    point: 4,
    rule: 'without confirmation by the home, a request with a caller\'s key is not reported as not run',
    file: 'packages/entry/dist/src/outcome.js',
    find: "key === undefined || fault.outcome !== 'not-run'",
    replace: "true || fault.outcome !== 'not-run'",
    test: 'packages/entry/dist/test/outcomes.test.js',
    title: '*with a key that may have run before*'
  },
  {
    name: 'not-run-after-doubt',
    point: 4,
    rule: 'a request is not reported as not run if any of its attempts may have run',
    file: 'packages/entry/dist/src/outcome.js',
    find: "!mayHaveRun || last.outcome !== 'not-run'",
    replace: 'true',
    test: 'packages/entry/dist/test/outcomes.test.js',
    title: '*after one that*'
  },
  {
    name: 'settle-stranger',
    point: 4,
    rule: 'only the incarnation that received the attempt can confirm that it never starts',
    file: 'packages/entry/dist/src/plainpath.js',
    find: "fate === 'tombstoned'",
    replace: "fate !== 'started'",
    test: 'packages/entry/dist/test/outcomes.test.js',
    title: '*another incarnation answers*'
  },
  {
    name: 'answer-unchecked',
    point: 3,
    rule: 'an answer that names another attempt is dropped',
    file: 'packages/entry/dist/src/attempting.js',
    find: 'echoed === attempt.id',
    replace: 'true',
    test: 'packages/entry/dist/test/outcomes.test.js',
    title: '*that names another attempt*'
  },
  {
    name: 'entry-behind-serves',
    point: 8,
    rule: 'an entry that knows of a later configuration and cannot fetch it takes no requests',
    file: 'packages/entry/dist/src/fence.js',
    find: 'now - this.#behindSince >= maxBehindTime',
    replace: 'false',
    test: 'packages/entry/dist/test/fence.test.js',
    title: 'an entry whose workers report a later*'
  },
  {
    name: 'silent-worker-chosen',
    point: 6,
    rule: 'a worker whose report is too old gets no new requests',
    file: 'packages/entry/dist/src/targets.js',
    find: 'clock.now() - madeAt < limit',
    replace: 'true',
    test: 'packages/entry/dist/test/fence.test.js',
    title: 'an entry that receives no reports*'
  }
)

breakages.push(
  {
    name: 'handover-unchecked',
    point: 5,
    rule: 'a home uses a book handed over only if the marks of a majority show that no other home held the slot in between',
    file: 'packages/run/dist/src/inheritance.js',
    find: 'return isMajority(fitting, later.voters)',
    replace: 'return true',
    test: 'packages/run/dist/test/home.test.js',
    title: 'a book that was handed over is not used*'
  },
  {
    name: 'run-fresh-forgotten',
    point: 5,
    rule: 'a key minted before the takeover floor is retained as long as any other key',
    file: 'packages/run/dist/src/book.js',
    find: 'const oldest = this.#retentionFloor(wall)',
    replace: 'const oldest = this.floor(wall)',
    test: 'packages/run/dist/test/book.test.js',
    title: 'a key minted before the takeover floor, for*'
  },
  {
    name: 'handover-running-forgotten',
    point: 5,
    rule: 'a request that still runs when its book is handed over has the state `unknown` at the next home',
    file: 'packages/run/dist/src/book.js',
    find: "if (run.state === 'running')\n                return { key: key.text, request: run.request, state: 'unknown' }",
    replace: "if (run.state === 'running')\n                return { key: 'none', request: run.request, state: 'unknown' }",
    test: 'packages/run/dist/test/home.test.js',
    title: 'after a planned handover*'
  },
  {
    name: 'handover-second-claim',
    point: 5,
    rule: 'a claim for which a book waits continues with its term',
    file: 'packages/run/dist/src/home.js',
    find: 'this.#awaitsInheritance(slot, now) || claim.mayContinue(voter, now)',
    replace: 'claim.mayContinue(voter, now)',
    test: 'packages/run/dist/test/home.test.js',
    title: 'a book that was handed over is used even*'
  },
  {
    name: 'own-book-unchecked',
    point: 5,
    rule: 'a home continues its book after a lapse only if the marks of a majority show that it held the slot throughout',
    file: 'packages/run/dist/src/claim.js',
    find: 'lapse === undefined || !hasHeldThroughout(lapse, { voters, marks: this.lease.currentMarks })',
    replace: 'lapse === undefined',
    test: 'packages/run/dist/test/home.test.js',
    title: 'a home whose lease lapsed does not continue*'
  },
  {
    name: 'own-book-unchecked-at-random',
    point: 5,
    rule: 'a key runs at most once under standstills',
    file: 'packages/run/dist/src/claim.js',
    find: 'lapse === undefined || !hasHeldThroughout(lapse, { voters, marks: this.lease.currentMarks })',
    replace: 'lapse === undefined',
    test: 'packages/run/dist/test/once.test.js',
    title: 'a key runs at most once under standstills*'
  },
  {
    name: 'own-book-dropped',
    point: 5,
    rule: 'a home that held its slot throughout a lapse continues its book',
    file: 'packages/run/dist/src/claim.js',
    find: 'if (this.#book === undefined || this.#lapse !== undefined)',
    replace: 'if (true)',
    test: 'packages/run/dist/test/home.test.js',
    title: 'a home whose lease lapsed while nobody*'
  },
  {
    name: 'ended-grants-count',
    point: 5,
    rule: 'the mark of an ended grant does not show that nobody held the slot in between',
    file: 'packages/run/dist/src/home.js',
    find: 'marks: claim.lease.currentMarks',
    replace: 'marks: claim.lease.marks',
    test: 'packages/run/dist/test/home.test.js',
    title: 'a grant that has ended*'
  },
  {
    name: 'lapse-unreported',
    point: 1,
    rule: 'a lease that lapsed during a pause reports it before an answer restores its quorum',
    file: 'packages/lease/dist/src/lease.js',
    find: 'this.#updateState();\n        this.#holding = this.#holding.withGrant(',
    replace: 'this.#holding = this.#holding.withGrant(',
    test: 'packages/lease/dist/test/exclusion.test.js',
    title: 'a lease that lapsed while its holder was paused*'
  },
  {
    name: 'lapsed-book-not-handed-over',
    point: 5,
    rule: 'a home that stops after a lapse hands its book over',
    file: 'packages/run/dist/src/home.js',
    find: 'if (handover !== undefined)\n                await this.#sendHandover',
    replace: 'if (handover !== undefined && claim.lease.valid)\n                await this.#sendHandover',
    test: 'packages/run/dist/test/home.test.js',
    title: 'a home that stops while its lease has lapsed*'
  },
  {
    name: 'pause-counts-as-vacancy',
    point: 5,
    rule: 'a worker that was paused does not take slots whose home was paused with it',
    file: 'packages/run/dist/src/vacancies.js',
    find: 'Math.min(now - this.#observedAt, this.#options.interval)',
    replace: 'now - this.#observedAt',
    test: 'packages/run/dist/test/home.test.js',
    title: 'after a pause of all workers*'
  },
  {
    name: 'handover-unused',
    point: 5,
    rule: 'the next home uses the book that a home hands over at a planned stop',
    file: 'packages/run/dist/src/home.js',
    find: 'handover !== undefined && isDirectSuccessor(handover, successor)',
    replace: 'false',
    test: 'packages/trial/dist/test/handover.test.js',
    title: 'when a home is*'
  },
  {
    name: 'leaver-keeps-homes',
    point: 6,
    rule: 'a plain worker that must leave hands its slots over',
    file: 'packages/worker/dist/src/homecontroller.js',
    find: "board.read('mustLeave')",
    replace: 'false',
    test: 'packages/trial/dist/test/leaving.test.js',
    title: 'the keys of a plain worker*'
  }
)

breakages.push(
  {
    name: 'vote-without-list',
    point: 5,
    rule: 'a voter that has just started gives no vote until it has received the list of voters',
    file: 'packages/worker/dist/src/calls.js',
    find: "if (assignment?.kind !== 'plain')\n            return true",
    replace: "if (assignment?.kind !== 'plain')\n            return false",
    test: 'packages/worker/dist/test/calls.test.js',
    title: 'a voter that has just started*'
  },
  {
    name: 'vote-by-old-list',
    point: 5,
    rule: 'a voter gives no vote under a list of voters older than the newest that it has received',
    file: 'packages/worker/dist/src/calls.js',
    find: 'return revision < this.#newestVotersRevision',
    replace: 'return false',
    test: 'packages/worker/dist/test/calls.test.js',
    title: 'a voter that knows a later list*'
  },
  {
    name: 'placement-unconditional',
    point: 2,
    rule: 'a placement is written only if the stored version is the one that it was planned from',
    file: 'packages/entry/dist/src/planning.js',
    find: 'placement.revision - 1)',
    replace: "(await store.read('placement/' + domain)).unwrapOr({ version: 0 }).version)",
    test: 'packages/entry/dist/test/planning.test.js',
    title: 'with concurrent planners*'
  },
  {
    name: 'placement-falls',
    point: 2,
    rule: 'an entry accepts newer placements only',
    file: 'packages/entry/dist/src/facts.js',
    find: 'found.revision > known.revision',
    replace: 'true',
    test: 'packages/entry/dist/test/planning.test.js',
    title: 'older placements*'
  }
)

breakages.push(
  {
    name: 'sessions-kept',
    point: 7,
    rule: 'a replica hands its sessions over at a planned stop',
    file: 'packages/worker/dist/src/head.js',
    find: 'await this.#options.handOverSessions(tenure.assignment)',
    replace: 'await undefined',
    test: 'packages/trial/dist/test/sessions.test.js',
    title: 'a replica whose node*'
  },
  {
    name: 'sessions-by-entry',
    point: 7,
    rule: 'every entry prefers the same replicas for a session',
    file: 'packages/entry/dist/src/modelpath.js',
    find: 'if (session === undefined)',
    replace: 'if (true)',
    test: 'packages/trial/dist/test/sessions.test.js',
    title: 'a replica whose node*'
  }
)

breakages.push({
  name: 'hopeless-waits',
  point: 4,
  rule: 'a request that would wait for more than half of its time is refused at once',
  file: 'packages/admit/dist/src/queue.js',
  find: 'if (this.#expectedWait(request.team) > waitShare',
  replace: 'if (0 > waitShare',
  test: 'packages/admit/dist/test/queue.test.js',
  title: 'a request that would wait*'
})

breakages.push(
  {
    name: 'open-before-ready',
    point: 1,
    rule: 'a replica is opened only when every member says ready (PARTIAL)',
    file: 'packages/forming/dist/src/lifecycle.js',
    find: 'replica.members.every(({ id }) => snapshot.find(id)?.membership?.state === \'ready\')',
    replace: 'true',
    test: 'packages/emulator/dist/test/forming.test.js',
    title: 'engines that hold nothing become*'
  },
  {
    name: 'free-before-closed',
    point: 2,
    rule: 'the members of a head that is not listed are free only once it has ended (TWO)',
    file: 'packages/forming/dist/src/lifecycle.js',
    find: 'if (snapshot.find(id) === undefined)',
    replace: 'if (false)',
    test: 'packages/emulator/dist/test/forming.test.js',
    title: 'a head that the platform no longer lists*'
  },
  {
    name: 'loads-at-will',
    point: 2,
    rule: 'loads stay under the rate of the weight store (CEILING)',
    file: 'packages/forming/dist/src/loadlimit.js',
    find: '(!rated || this.#tokens >= 1) && otherNodes.size < engine.loadsAtOnce - keepFree',
    replace: 'true',
    test: 'packages/emulator/dist/test/forming.test.js',
    title: 'engines that hold nothing become*'
  },
  {
    name: 'reset-is-whole',
    point: 3,
    rule: 'an answer whose connection was reset is incomplete (MIXED)',
    file: 'packages/wire/dist/src/connections.js',
    find: 'ending === \'reset\' || ',
    replace: '',
    test: 'packages/wire/dist/test/connections.test.js',
    title: 'an answer with no length, reset: incomplete'
  },
  {
    name: 'foreign-answer',
    point: 3,
    rule: 'an answer with another id is no answer (MIXED)',
    file: 'packages/forward/dist/src/answers.js',
    find: 'answerHeader(headers, names.request) === id',
    replace: 'true',
    test: 'platform/dist/test/path.test.js',
    title: 'a request that a worker refuses as not run*'
  },
  {
    name: 'repeat-after-loss',
    point: 5,
    rule: 'what may have run is sent again only where it may be repeated (TWICE)',
    file: 'packages/dispatch/dist/src/retry.js',
    find: 'result.kind !== \'not-run\' && !repeatable',
    replace: 'false',
    test: 'platform/dist/test/path.test.js',
    title: 'a request that a worker refuses as not run*'
  },
  {
    name: 'keys-unconfirmed',
    point: 8,
    rule: 'keys are served only while the configuration is confirmed (CONFIG)',
    file: 'packages/gateway/dist/src/admission.js',
    find: 'if (!fresh && (strictKeys || team === undefined))',
    replace: 'if (false)',
    test: 'platform/dist/test/path.test.js',
    title: 'without a confirmation of the store*'
  },
  {
    name: 'repeats-at-will',
    point: 4,
    rule: 'retries stay within ratio and slack (BUDGET)',
    file: 'packages/dispatch/dist/src/budget.js',
    find: 'const isLeft = this.left >= 1;',
    replace: 'const isLeft = this.left >= -20;',
    test: 'packages/dispatch/dist/test/dispatch.test.js',
    title: 'retries are limited to a share*'
  },
  {
    name: 'resume-what-may-not',
    point: 5,
    rule: 'a stream that may not be resumed is not sent again (TWICE)',
    file: 'packages/dispatch/dist/src/retry.js',
    find: 'result.kind !== \'not-run\' && !repeatable',
    replace: 'false',
    test: 'platform/dist/test/path.test.js',
    title: 'a stream that may not be resumed*'
  },
  {
    name: 'quiet-is-outage',
    point: 6,
    rule: 'an upstream that is not listed after a quiet time is gone at once (DRAIN)',
    file: 'packages/roster/dist/src/outage.js',
    find: 'this.#failingSince !== undefined && this.#failures >= minimumFailures && ',
    replace: '',
    test: 'packages/roster/dist/test/roster.test.js',
    title: 'an upstream that is not listed any more*'
  },
  {
    name: 'doubtful-used',
    point: 2,
    rule: 'an engine that may be gone is put into no replica',
    file: 'packages/forming/dist/src/pool.js',
    find: '!lapsed.has(each.id) && ',
    replace: '',
    test: 'packages/emulator/dist/test/forming.test.js',
    title: 'an engine whose entry is missing*'
  },
  {
    name: 'act-on-half-a-list',
    point: 2,
    rule: 'an entry that starts again acts only on a list that is surely whole',
    file: 'packages/gateway/dist/src/leadership.js',
    find: '!isFirstList && !outage.listComplete',
    replace: 'false',
    test: 'platform/dist/test/path.test.js',
    title: 'an entry that starts again acts*'
  },
  {
    name: 'load-again',
    point: 2,
    rule: 'an engine that loads is not told to load again (CEILING)',
    file: 'packages/forming/dist/src/permits.js',
    find: 'loads.loading(order.node) === order.model && (loads.isOrderedElsewhere(order.node) || history.wasTaken(order))',
    replace: 'false',
    test: 'packages/emulator/dist/test/forming.test.js',
    title: 'an engine that has taken an order to load*'
  },
  {
    name: 'dissolved-before-left',
    point: 2,
    rule: 'a head leaves its replica before the others are free (TWO)',
    file: 'packages/forming/dist/src/lifecycle.js',
    find: 'history.hasLeft(replica.members[0].id, replica.name) ?',
    replace: 'true ?',
    test: 'packages/emulator/dist/test/forming.test.js',
    title: 'a head that left an order to open unanswered*'
  },
  {
    name: 'spelling-of-one-site',
    point: 8,
    rule: 'fields of the platform are taken in any spelling',
    file: 'platform/dist/src/decode.js',
    find: '.toLowerCase()',
    replace: '',
    test: 'platform/dist/test/edge.test.js',
    title: 'fields may be written in any case*'
  },
  {
    name: 'unconfirmed-though-unreadable',
    point: 8,
    rule: 'a newer configuration that cannot be decoded is not confirmed (CONFIG)',
    file: 'platform/dist/src/platform.js',
    find: 'if (decoded)',
    replace: 'if (true)',
    test: 'platform/dist/test/edge.test.js',
    title: 'a newer configuration that cannot be decoded*'
  },
  {
    name: 'rest-not-kept',
    point: 3,
    rule: 'an upstream that asked for rest gets no request until its end (BUDGET)',
    file: 'packages/detect/dist/src/rests.js',
    find: 'return this.remaining(id) > 0',
    replace: 'return false',
    test: 'platform/dist/test/rest.test.js',
    title: 'heads that ask for rest*'
  },
  {
    name: 'leaving-not-heard',
    point: 3,
    rule: 'an upstream that says in an answer that it is leaving gets no new request (DRAIN)',
    file: 'platform/dist/src/conditions.js',
    find: 'includes(leavingValue)',
    replace: 'includes(leavingValue) && false',
    test: 'platform/dist/test/leaving.test.js',
    title: 'a plain worker that announces in an answer*'
  },
  {
    name: 'written-though-resting',
    point: 3,
    rule: 'a request that waits for its connection is withdrawn when its upstream asks for rest',
    file: 'packages/forward/dist/src/attempt.js',
    find: 'if (!this.#written)',
    replace: 'if (false)',
    test: 'packages/forward/dist/test/attempt.test.js',
    title: 'a request that waits for its connection*'
  },
  {
    name: 'limit-not-kept',
    point: 3,
    rule: 'an upstream that names a limit gets no more requests a second than that (LIMIT)',
    file: 'packages/limits/dist/src/tokenclient.js',
    find: 'if (!limits.isLimited(upstream) || this.#holds(upstream))',
    replace: 'if (true)',
    test: 'platform/dist/test/limit.test.js',
    title: 'heads that name a limit*'
  },
  {
    name: 'limit-kept-alone',
    point: 3,
    rule: 'all gateways together keep a limit, not each for itself (LIMIT)',
    file: 'packages/gateway/dist/src/upstreamlimits.js',
    find: 'return owner === this.#options.id ? undefined : owner',
    replace: 'return undefined',
    test: 'packages/gateway/dist/test/limitfleet.test.js',
    title: '13 gateways together keep*'
  },
  {
    name: 'evacuation-not-kept',
    point: 3,
    rule: 'no upstream of an evacuated data centre gets a new request (EVAC)',
    file: 'packages/roster/dist/src/roster.js',
    find: 'this.upstreams.filter(({ id }) => !this.isEvacuated(id))',
    replace: 'this.upstreams',
    test: 'platform/dist/test/evacuation.test.js',
    title: 'after the bound no request reaches*'
  },
  {
    name: 'evacuation-not-told',
    point: 3,
    rule: 'a gateway without the store learns from others what is evacuated (EVAC)',
    file: 'packages/gateway/dist/src/evacuationcontroller.js',
    find: 'evacuation !== undefined && isAnnounced ? { evacuation } : {}',
    replace: '{}',
    test: 'platform/dist/test/evacuation.test.js',
    title: 'a gateway that has lost the store*'
  },
  {
    name: 'evacuation-older',
    point: 3,
    rule: 'an older set of evacuations does not replace a newer one',
    file: 'packages/gateway/dist/src/evacuationcontroller.js',
    find: 'evacuation.revision <= known.revision',
    replace: 'false',
    test: 'packages/gateway/dist/test/evacuationcontroller.test.js',
    title: 'the latest revision is applied*'
  },
  {
    name: 'evacuated-engine-taken',
    point: 3,
    rule: 'no evacuated engine is taken for a replica or a load',
    file: 'packages/forming/dist/src/pool.js',
    find: ' && !evacuated.has(each.id)',
    replace: '',
    test: 'packages/emulator/dist/test/evacuation.test.js',
    title: 'an evacuated replica that loses a member*'
  },
  {
    name: 'cold-not-kept',
    point: 3,
    rule: 'a cold upstream gets no more requests a second than it bears (FAILBACK)',
    file: 'packages/limits/dist/src/limits.js',
    find: 'return Math.min(this.namedRate(id), this.#cold?.rate(id) ?? Infinity)',
    replace: 'return this.namedRate(id)',
    test: 'platform/dist/test/cold.test.js',
    title: 'cold heads get no more*'
  },
  {
    name: 'cold-not-reported',
    point: 3,
    rule: 'a gateway without the store is notified by the others that an upstream is cold (FAILBACK)',
    file: 'packages/gateway/dist/src/upstreamlimits.js',
    find: 'cold: this.cold.reports(isIssuedHere)',
    replace: 'cold: {}',
    test: 'packages/gateway/dist/test/coldfleet.test.js',
    title: '*store-cut'
  },
  {
    name: 'place-not-kept',
    point: 3,
    rule: 'requests that wait together are not all sent to the place that one of them has taken',
    file: 'packages/detect/dist/src/inflight.js',
    find: 'requests.size ?? 0) + (this.#reserved.get(upstream) ?? 0)',
    replace: 'requests.size ?? 0)',
    test: 'packages/gateway/dist/test/overload.test.js',
    title: 'with 1 gateways no request*'
  },
  {
    name: 'silent-alone',
    point: 3,
    rule: 'a stream on a connection that has gone silent may move',
    file: 'packages/detect/dist/src/inflight.js',
    find: 'each.receivedAt < before',
    replace: 'false',
    test: 'packages/detect/dist/test/detect.test.js',
    title: 'a single stream that stays silent*'
  },
  {
    name: 'queue-stands',
    point: 3,
    rule: 'new connections are closed unread once the queue of connections has stood for too long',
    file: 'packages/detect/dist/src/standingqueue.js',
    find: 'this.#closingSince = now',
    replace: 'this.#closingSince = undefined',
    test: 'packages/detect/dist/test/standingqueue.test.js',
    title: 'at 4 times what the process can serve*'
  },
  {
    name: 'pause-is-overload',
    point: 3,
    rule: 'a pause of the process does not count as a wait of new connections',
    file: 'packages/detect/dist/src/standingqueue.js',
    find: 'Math.max(this.#probes[0], resumedAt)',
    replace: 'this.#probes[0]',
    test: 'packages/detect/dist/test/standingqueue.test.js',
    title: 'a pause of the process closes no connection*'
  },
  {
    name: 'closed-after-pause',
    point: 3,
    rule: 'a server is closed only after a short turn in which nothing was to be read',
    file: 'packages/wire/dist/src/quiet.js',
    find: 'now - readUntil > maxTurn',
    replace: 'false',
    test: 'packages/wire/dist/test/quiet.test.js',
    title: 'a turn in which the loop was blocked*'
  },
  {
    name: 'closed-unread',
    point: 3,
    rule: 'a server is closed only once nothing more is to be read',
    file: 'packages/wire/dist/src/quiet.js',
    find: '!arrivals.take()',
    replace: 'true',
    test: 'packages/wire/dist/test/quiet.test.js',
    title: 'requests on connections that were not accepted yet*'
  },
  {
    name: 'error-unanswered',
    point: 4,
    rule: 'a request is answered if handling it fails',
    file: 'packages/gateway/dist/src/callers.js',
    find: 'request.refuse(fault)',
    replace: 'response.destroy()',
    test: 'packages/gateway/dist/test/callers.test.js',
    title: 'a request gets a 500 and is ended if serving it fails'
  },
  {
    name: 'burst-closed',
    point: 3,
    rule: 'a queue of connections that empties in time is no overload',
    file: 'packages/detect/dist/src/standingqueue.js',
    find: 'if (isEmpty) {',
    replace: 'if (false) {',
    test: 'packages/detect/dist/test/standingqueue.test.js',
    title: 'at 0.5 times*'
  },
  {
    name: 'closed-replica-whole',
    point: 4,
    rule: 'an answer without a length that ends when its replica was closed is not whole',
    file: 'packages/gateway/dist/src/serving.js',
    find: 'if (servesReplica(upstream, report) && !isReopened)',
    replace: 'if (true)',
    test: 'packages/gateway/dist/test/serving.test.js',
    title: 'a head that reports its replica closed*'
  },
  {
    name: 'head-time-first',
    point: 4,
    rule: 'a request that has arrived is read before the time for its head is judged',
    file: 'packages/wire/dist/src/headtime.js',
    find: 'if (code === headTimeoutCode)',
    replace: 'if (false)',
    test: 'packages/wire/dist/test/serve.test.js',
    title: 'a request that has arrived before the header time-out*'
  },
  {
    name: 'doubt-counts-as-proof',
    point: 1,
    rule: 'no replica that serves is closed because an engine is in doubt',
    file: 'packages/forming/dist/src/snapshot.js',
    find: 'mayServe ? this.isLost(id) : this.isMissing(id)',
    replace: 'this.isMissing(id)',
    test: 'packages/emulator/dist/test/silences.test.js',
    title: '*schedules 1 to 50*'
  },
  {
    name: 'short-silence-proves',
    point: 1,
    rule: 'only a silence that is longer than a sound one proves that an engine is lost',
    file: 'packages/detect/dist/src/silences.js',
    find: 'const maxSoundSilence = 2500',
    replace: 'const maxSoundSilence = 500',
    test: 'packages/emulator/dist/test/silences.test.js',
    title: '*schedules 1 to 50*'
  },
  {
    name: 'evidence-not-checked-again',
    point: 1,
    rule: 'an order to close that rests on silence is void once the engine has answered',
    file: 'packages/forming/dist/src/reconciler.js',
    find: 'if (this.#isVoid(order))',
    replace: 'if (false)',
    test: 'packages/emulator/dist/test/voidorders.test.js',
    title: 'an order to close that rests on silence*'
  },
  {
    name: 'refusals-not-counted',
    point: 1,
    rule: 'an engine at whose address no process listens is lost at once',
    file: 'packages/detect/dist/src/liveness.js',
    find: 'this.#silences.hasRefused(id) && (id !== head || suspects.has(head))',
    replace: 'false',
    test: 'packages/emulator/dist/test/silences.test.js',
    title: 'a replica whose member really dies*process*'
  },
  {
    name: 'dead-member-kept',
    point: 1,
    rule: 'a replica with a lost member is closed',
    file: 'packages/detect/dist/src/liveness.js',
    find: 'this.#isSilentToAll(id) && this.#silences.isTooLong(',
    replace: 'false && this.#silences.isTooLong(',
    test: 'packages/emulator/dist/test/silences.test.js',
    title: 'a replica whose member really dies*machine*'
  },
  {
    name: 'open-before-all-ready',
    point: 1,
    rule: 'a replica is opened when every member is ready (PARTIAL)',
    file: 'packages/forming/dist/src/lifecycle.js',
    find: 'const ready = replica.members.every(',
    replace: 'const ready = replica.members.some(',
    test: 'packages/emulator/dist/test/silences.test.js',
    title: '*schedules 1 to 50*'
  }
)

breakages.push(
  {
    name: 'joins-without-leaving',
    point: 2,
    rule: 'an engine whose head may still serve leaves its replica before it joins another one (TWO)',
    file: 'packages/forming/dist/src/lifecycle.js',
    find: ': memberLeaveOrder(engine, membership)',
    replace: ': joinOrder(replica, engine)',
    test: 'packages/emulator/dist/test/cuts.test.js',
    title: 'the members of a head that nobody reaches*'
  },
  {
    name: 'old-record-taken-as-proof',
    point: 2,
    rule: 'the record of a head that is not open may be old and frees no member (TWO)',
    file: 'packages/forming/dist/src/lifecycle.js',
    find: "headState === 'joining' ||",
    replace: 'headState !== undefined ||',
    test: 'packages/emulator/dist/test/cuts.test.js',
    title: '*old record of a head*'
  },
  {
    name: 'joins-by-late-order',
    point: 2,
    rule: 'an order to join is conditional where the engine may enter another replica by a late order (TWO)',
    file: 'packages/forming/dist/src/reconciler.js',
    find: "order.kind === 'join' && this.#history.mayJoinAnotherLate(",
    replace: 'false && this.#history.mayJoinAnotherLate(',
    test: 'packages/emulator/dist/test/cuts.test.js',
    title: '*late orders or an old record*'
  },
  {
    name: 'own-silence-only',
    point: 2,
    rule: 'a head that answers another gateway is not dead',
    file: 'packages/detect/dist/src/liveness.js',
    find: '!this.#answersOthers(id)',
    replace: 'true',
    test: 'packages/detect/dist/test/indirect.test.js',
    title: 'a head that answers another gateway*'
  },
  {
    name: 'same-relays-always',
    point: 2,
    rule: 'an engine that does not answer is called through other gateways each time',
    file: 'packages/gateway/dist/src/relays.js',
    find: 'choices.chosen.add(id)',
    replace: 'void id',
    test: 'packages/gateway/dist/test/relays.test.js',
    title: 'each of 34 gateways*'
  }
)

breakages.push(
  {
    name: 'outage-by-own-calls',
    point: 4,
    rule: 'while other gateways read the list there is no outage (DRAIN)',
    file: 'packages/roster/dist/src/outage.js',
    find: 'Math.max(this.#failingSince, this.#knownUpTo) > minimumOutage',
    replace: 'this.#failingSince > minimumOutage',
    test: 'packages/gateway/dist/test/upstreamlist.test.js',
    title: 'a record that goes after a cut*'
  },
  {
    name: 'outage-not-learned',
    point: 4,
    rule: 'an outage that the gateway that is followed noticed counts here too',
    file: 'packages/roster/dist/src/outage.js',
    find: 'outageEndedAt > this.#endedAt &&',
    replace: 'false &&',
    test: 'packages/gateway/dist/test/upstreamlist.test.js',
    title: 'a record that is missing after an outage*'
  },
  {
    name: 'cut-of-another-learned',
    point: 4,
    rule: 'an outage that another gateway noticed does not count if the list was known meanwhile',
    file: 'packages/roster/dist/src/outage.js',
    find: 'outageEndedAt - this.#knownUpTo > minimumOutage',
    replace: 'true',
    test: 'packages/gateway/dist/test/upstreamlist.test.js',
    title: 'an outage that another gateway noticed*'
  },
  {
    name: 'left-before-answers',
    point: 4,
    rule: 'a head that has finished its requests leaves once the gateways have received the answers',
    file: 'packages/forming/dist/src/lifecycle.js',
    find: 'isAwaited && endsReplica(step) ? {} : step',
    replace: 'step',
    test: 'packages/forming/dist/test/lifecycle.test.js',
    title: 'a head that has finished its requests*'
  },
  {
    name: 'first-unframed-unnoticed',
    point: 4,
    rule: 'the head of the first answer without a length is asked when it closes',
    file: 'packages/gateway/dist/src/serving.js',
    find: 'this.#services.add(service);',
    replace: '',
    test: 'packages/gateway/dist/test/serving.test.js',
    title: 'the first answer without a length*'
  },
  {
    name: 'second-stop-signal-ends',
    point: 4,
    rule: 'a process that stops is not ended by a second SIGTERM',
    file: 'packages/life/dist/src/run.js',
    find: "process.on('SIGTERM'",
    replace: "process.once('SIGTERM'",
    test: 'platform/dist/test/unread.test.js',
    title: 'a gateway that is told to stop three times*'
  },
  {
    name: 'odd-origin-thrown',
    point: 4,
    rule: 'a call to an origin that cannot be called fails its receiver and throws nothing',
    file: 'packages/wire/dist/src/connections.js',
    find: '?? this.#tryMake(call.origin)',
    replace: '?? this.#make(call.origin)',
    test: 'packages/wire/dist/test/connections.test.js',
    title: 'a call to an origin that cannot be called*'
  },
  {
    name: 'odd-datagram-thrown',
    point: 4,
    rule: 'a heartbeat to an address that cannot be called is lost and throws nothing',
    file: 'packages/peers/dist/src/datagrams.js',
    find: 'if (!Address.safeParse(address).success)',
    replace: 'if (false)',
    test: 'packages/peers/dist/test/peers.test.js',
    title: 'heartbeats go to the other gateways although*'
  },
  {
    name: 'port-without-bound',
    point: 4,
    rule: 'an address has a port that a socket accepts',
    file: 'packages/address/dist/src/address.js',
    find: 'const maxPort = 65_535',
    replace: 'const maxPort = 99_999',
    test: 'packages/address/dist/test/address.test.js',
    title: 'no address: *'
  },
  {
    name: 'uncaught-error-unlogged',
    point: 7,
    rule: 'a process that ends by an error logs why',
    file: 'packages/life/dist/src/run.js',
    find: "this.#log.write('uncaught-error', { cause: causeOf(error) });",
    replace: '',
    test: 'packages/life/dist/test/run.test.js',
    title: 'an error that reaches the event loop is logged*'
  },
  {
    name: 'bodies-unbounded',
    point: 4,
    rule: 'a gateway bounds the bytes of the requests that it holds',
    file: 'packages/gateway/dist/src/bodies.js',
    find: 'this.#held + more <= this.#maxBytes',
    replace: 'true',
    test: 'platform/dist/test/bodies.test.js',
    title: 'a gateway stays within its memory*'
  },
  {
    name: 'pipelined-body-leaks',
    point: 4,
    rule: 'the room of a request is free again once its connection is gone',
    file: 'packages/gateway/dist/src/callers.js',
    find: "socket.once('close', end);",
    replace: '',
    test: 'packages/gateway/dist/test/callers.test.js',
    title: 'the room of a request that waits behind another one*'
  },
  {
    name: 'failed-delivery-complete',
    point: 4,
    rule: 'a list of which a part was not taken is delivered again',
    file: 'platform/dist/src/watch.js',
    find: 'if (error instanceof DeliveryError) {',
    replace: 'if (false) {',
    test: 'platform/dist/test/watch.test.js',
    title: 'after a delivery that failed in the gateway*'
  }
)
