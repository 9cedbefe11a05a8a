/** The operator's configuration of a small deployment. */
export function configuration(version, changes = {}) {
  const route = (name, kind, service, more = {}) => ({
    name,
    host: 'app.example',
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs: 1_200,
    targetLatencyMs: 243,
    priority: 2,
    service,
    maxAttempts: kind === 'idempotent' ? 2 : 1,
    public: false,
    sticky: false,
    resumable: false,
    ...more,
  });
  const stream = {
    timeoutMs: 10_000,
    targetLatencyMs: 2_000,
    gapTargetMs: 1_200,
  };
  return {
    version,
    routes: [
      route('order', 'non_idempotent', 'plant'),
      route('look', 'idempotent', 'plant'),
      route('spec', 'streaming', 'engines', {
        ...stream,
        resumable: true,
        sticky: true,
        maxAttempts: 2,
      }),
      route('recipe', 'streaming', 'engines', {...stream, sticky: true}),
    ],
    services: [
      {
        name: 'plant',
        healthPath: '/healthz',
        maxConnections: 100,
        protocol: 'h1',
        tls: false,
      },
      {
        name: 'engines',
        healthPath: '/healthz',
        maxConnections: 360,
        protocol: 'h1',
        tls: false,
        engine: {slots: 64, kvCapacityTokens: 700_000, stride: 4},
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [
      {name: 'tenant-a', apiKeys: ['key-a']},
      {name: 'tenant-b', apiKeys: ['key-b']},
    ],
    ...changes,
  };
}

export function publish(store, document) {
  const value = Buffer.from(JSON.stringify(document));
  store.append('keyed.op', 'config', value);
}
