/** The schema of the operators' calls, generated from proto/eiderwind/v1/operators.proto. */
export * from './gen/eiderwind/v1/operators_pb.js'
