/** A configuration of the operator for a small deployment. */
export const keys = { one: 'n2ctnfzs989anu6wsjnb', two: 'q7xk20dpw3m1vz8hbt5c' }

export const models = [{ name: 'large', size: 4, load: 3000, warm: 1600 }, { name: 'small', size: 2, load: 2000, warm: 1100 }]

export function configuration () {
  const common = { host: 'site.example', priority: 1, maxAttempts: 2, public: false, targetLatencyMs: 300 }
  const plain = { ...common, service: 'plain', timeoutMs: 2000 }
  const chat = { ...common, service: 'chat', kind: 'streaming', timeoutMs: 8000, targetGapMs: 200, sessionAffinity: true }
  return {
    routes: [
      { ...plain, name: 'once', pathPrefix: '/once/', kind: 'unsafe', maxAttempts: 1 },
      { ...plain, name: 'safe', pathPrefix: '/safe/', kind: 'safe' },
      { ...plain, name: 'open', pathPrefix: '/open/', kind: 'safe', public: true },
      { ...chat, name: 'chat', pathPrefix: '/chat/', streamResume: true }
    ],
    services: [
      { name: 'plain', healthPath: '/health', maxConnections: 100, protocol: 'h1', tls: false },
      {
        name: 'chat',
        healthPath: '/health',
        maxConnections: 356,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 24,
          models: models.map(({ name, size, load, warm }) => ({ name, size, share: 0.5, pace: 1, loadS: load / 1000, warmupS: warm / 1000 })),
          step_ms: 7.8,
          per_seq_ms: 0.1,
          read_per_s: 45_900,
          usual: { prompt: 900, answer: 100 },
          loadsPerS: 20,
          loads_at_once: 12,
          formMs: 20
        }
      }
    ],
    limits: { maxHeaderBytes: 8192, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 5000 },
    tenants: [{ name: 'one', apiKeys: [keys.one] }, { name: 'two', apiKeys: [keys.two] }]
  }
}
