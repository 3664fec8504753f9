/**
 * Functions of `pg_catalog` that change no data and can run on a replica, from the function chapters of the
 * PostgreSQL 18 manual. Any function that is not listed counts as a write. Intentionally omitted:
 * `pg_is_in_recovery`, which drivers call to find the primary; `txid_current`, which assigns a transaction id;
 * `pg_current_wal_lsn`, which fails on a replica.
 */
const READ_ONLY = `
abs cbrt ceil ceiling degrees div erf erfc exp factorial floor gamma gcd lcm lgamma ln log log10 min_scale mod pi
power radians round scale sign sqrt trim_scale trunc width_bucket random random_normal acos acosd asin asind atan
atand atan2 atan2d cos cosd cot cotd sin sind tan tand sinh cosh tanh asinh acosh atanh
ascii bit_length btrim char_length character_length chr concat concat_ws convert convert_from convert_to decode encode
format initcap left length lower lpad ltrim md5 normalize octet_length overlay parse_ident position quote_ident
quote_literal quote_nullable regexp_count regexp_instr regexp_like regexp_match regexp_matches regexp_replace
regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse right rpad rtrim split_part
starts_with strpos string_to_array string_to_table substr substring text textlen to_ascii to_bin to_hex to_oct
translate trim unistr upper casefold like_escape similar_to_escape similar_escape bit_count crc32 crc32c get_bit
get_byte set_bit set_byte sha224 sha256 sha384 sha512 to_char to_date to_number to_timestamp
age clock_timestamp date date_add date_bin date_part date_subtract date_trunc extract isfinite justify_days
justify_hours justify_interval make_date make_interval make_time make_timestamp make_timestamptz now
statement_timestamp timeofday timezone transaction_timestamp overlaps pg_sleep pg_sleep_for pg_sleep_until
enum_first enum_last enum_range area center diagonal diameter height isclosed isopen npoints pclose popen radius slope
width box circle line lseg path point polygon abbrev broadcast family host hostmask inet_merge inet_same_family
masklen netmask network set_masklen macaddr8_set7bit
array_to_tsvector get_current_ts_config numnode plainto_tsquery phraseto_tsquery websearch_to_tsquery querytree
setweight strip to_tsquery to_tsvector json_to_tsvector jsonb_to_tsvector ts_delete ts_filter ts_headline ts_rank
ts_rank_cd ts_rewrite tsquery_phrase tsvector_to_array ts_debug ts_lexize ts_parse ts_token_type
gen_random_uuid uuidv4 uuidv7 uuid_extract_timestamp uuid_extract_version
to_json to_jsonb array_to_json row_to_json json_build_array jsonb_build_array json_build_object jsonb_build_object
json_object jsonb_object json_array_elements jsonb_array_elements json_array_elements_text jsonb_array_elements_text
json_array_length jsonb_array_length json_each jsonb_each json_each_text jsonb_each_text json_extract_path
jsonb_extract_path json_extract_path_text jsonb_extract_path_text json_object_keys jsonb_object_keys
json_populate_record jsonb_populate_record json_populate_recordset jsonb_populate_recordset json_to_record
jsonb_to_record json_to_recordset jsonb_to_recordset jsonb_set jsonb_set_lax jsonb_insert json_strip_nulls
jsonb_strip_nulls jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first
jsonb_pretty json_typeof jsonb_typeof
coalesce nullif greatest least num_nonnulls num_nulls
array_append array_cat array_dims array_fill array_length array_lower array_ndims array_position array_positions
array_prepend array_remove array_replace array_reverse array_sample array_shuffle array_sort array_to_string
array_upper cardinality trim_array unnest
isempty lower_inc lower_inf upper_inc upper_inf range_merge multirange int4range int8range numrange tsrange tstzrange
daterange int4multirange int8multirange nummultirange tsmultirange tstzmultirange datemultirange
any_value array_agg avg bit_and bit_or bit_xor bool_and bool_or count every json_agg jsonb_agg json_object_agg
jsonb_object_agg json_agg_strict jsonb_agg_strict max min range_agg range_intersect_agg string_agg sum xmlagg corr
covar_pop covar_samp regr_avgx regr_avgy regr_count regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy
stddev stddev_pop stddev_samp variance var_pop var_samp mode percentile_cont percentile_disc rank dense_rank
percent_rank cume_dist grouping row_number ntile lag lead first_value last_value nth_value
generate_series generate_subscripts
current_database current_catalog current_query current_schema current_schemas current_setting inet_client_addr
inet_client_port inet_server_addr inet_server_port pg_backend_pid pg_postmaster_start_time pg_conf_load_time version
has_any_column_privilege has_column_privilege has_database_privilege has_function_privilege has_schema_privilege
has_sequence_privilege has_table_privilege has_type_privilege pg_has_role row_security_active
pg_function_is_visible pg_table_is_visible pg_type_is_visible pg_operator_is_visible format_type
pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_function_arguments pg_get_function_identity_arguments
pg_get_function_result pg_get_indexdef pg_get_keywords pg_get_ruledef pg_get_serial_sequence pg_get_triggerdef
pg_get_userbyid pg_get_viewdef pg_get_partkeydef pg_index_column_has_property pg_index_has_property
pg_tablespace_location pg_typeof to_regclass to_regnamespace to_regproc to_regprocedure to_regrole to_regtype
col_description obj_description shobj_description pg_column_size pg_database_size pg_indexes_size pg_relation_size
pg_size_bytes pg_size_pretty pg_table_size pg_tablespace_size pg_total_relation_size pg_relation_filenode
pg_encoding_to_char pg_char_to_encoding pg_client_encoding getdatabaseencoding pg_last_wal_replay_lsn
pg_last_wal_receive_lsn pg_last_xact_replay_timestamp pg_wal_lsn_diff pg_stat_get_activity pg_blocking_pids
xml_is_well_formed xmlcomment xmlconcat xpath xpath_exists xmlexists
int2 int4 int8 float4 float8 numeric bool bpchar varchar char name oid interval timestamp timestamptz time timetz bytea
`;

export const READ_ONLY_FUNCTIONS: ReadonlySet<string> = new Set(READ_ONLY.trim().split(/\s+/));

/** Functions with session state, after which later statements of the caller need the same connection. */
export const PINNING_FUNCTIONS: ReadonlySet<string> = new Set([
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_shared",
    "pg_advisory_unlock_all",
    "setseed",
]);

/** Functions that read session state of earlier statements. */
export const SESSION_FUNCTIONS: ReadonlySet<string> = new Set(["currval", "lastval"]);
